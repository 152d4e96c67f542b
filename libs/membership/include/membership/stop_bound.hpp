/// \file
/// When may others be sure that a silent member has stopped acting under an older epoch?
///
/// By its word (it adopted a newer epoch), by proof (its process is gone), or by time: without a
/// new confirmation it stops being fresh. Silent members that are a majority of a former roster may
/// be confirming one another; then only `outage_grace` ends their freshness.
#pragma once

#include "membership/freshness.hpp"

namespace camphorhitch::membership
{

/// \param roster_size members of the former roster.
/// \param silent members of it that gave neither word nor proof.
/// \return how long after the last word of the others a silent one may still be fresh.
core::millis silent_bound(
    const freshness_settings& settings, std::size_t roster_size, std::size_t silent);

/// The newest word of one process, or the proof that it is gone.
struct process_word
{
    model::member_record who;
    ports::epoch_number epoch = 0; ///< newest that it was known to have adopted
    core::mono_time at{};          ///< when that was first heard
    bool gone = false;             ///< connection refused, or another process took its place
};

/// When this process adopted an epoch.
struct epoch_adoption
{
    ports::epoch_number epoch = 0;
    core::mono_time at{};
};

struct stop_state
{
    freshness_settings settings;
    model::member_record self;
    std::vector<epoch_adoption> adoptions; ///< oldest first, bounded
    std::vector<process_word> words;       ///< of processes in the adopted roster or its history
};

void on_epoch_adopted(stop_state& state, const model::roster_document& roster, core::mono_time now);

/// A heartbeat or an answer of \p who named \p epoch.
void on_word(stop_state& state,
    const model::member_record& who,
    ports::epoch_number epoch,
    core::mono_time now);

/// Proof that the process of \p who is gone.
void on_process_gone(stop_state& state, const model::member_record& who, core::mono_time now);

/// \param roster the adopted one, with its history.
/// \return the time from which no other process acts under an epoch before \p roster 's, as far as
///   is known now; it may move closer with more words, and is in the past when all have spoken.
core::mono_time stopped_from(const stop_state& state, const model::roster_document& roster);

} // namespace camphorhitch::membership
