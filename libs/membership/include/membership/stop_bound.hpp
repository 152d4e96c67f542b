/// \file
/// Bounds the time until which unresponsive members may still act under an older epoch.
///
/// A member has stopped acting under an older epoch when it reports a newer epoch, when its process
/// is proven to have ended, or when enough time has passed: without a new confirmation it stops
/// being fresh. Unresponsive members that form a majority of a previous roster may be confirming
/// one another; in that case only `outage_grace` ends their freshness.
#pragma once

#include "membership/freshness.hpp"

namespace camphorhitch::membership
{

/// \param roster_size number of members of the previous roster.
/// \param unresponsive number of its members that neither reported a newer epoch nor are proven to
///   have ended.
/// \return how long an unresponsive member may remain fresh after the last report of the other
///   members.
core::millis max_remaining_freshness(
    const freshness_settings& settings, std::size_t roster_size, std::size_t unresponsive);

/// The newest epoch reported by one process, or the proof that the process has ended.
struct process_report
{
    model::member_record process;
    ports::epoch_number epoch = 0; ///< newest epoch that the process is known to have adopted
    core::mono_time at{};          ///< when this report first arrived
    bool ended = false; ///< its address refused connections, or another process has replaced it
};

/// When this process adopted an epoch.
struct epoch_adoption
{
    ports::epoch_number epoch = 0;
    core::mono_time at{};
};

/// Reports and epochs that the bound is computed from.
struct stop_bound_state
{
    freshness_settings settings;
    model::member_record self;
    std::vector<epoch_adoption> adoptions; ///< oldest first, bounded
    /// Reports of processes in the adopted roster or its history.
    std::vector<process_report> reports;
};

/// Records that this process adopted \p roster at \p now, and removes the reports of processes that
/// are neither in the roster nor in its history.
void on_epoch_adopted(
    stop_bound_state& state, const model::roster_document& roster, core::mono_time now);

/// Records that a heartbeat or an answer of \p process named \p epoch.
void on_epoch_reported(stop_bound_state& state,
    const model::member_record& process,
    ports::epoch_number epoch,
    core::mono_time now);

/// Records the proof that the process \p process has ended.
void on_process_gone(
    stop_bound_state& state, const model::member_record& process, core::mono_time now);

/// \param roster the adopted roster, with its history.
/// \return the time from which no other process acts under an epoch older than that of \p roster,
///   according to the reports so far. The time may move closer with further reports, and is in the
///   past when all processes have reported.
core::mono_time older_epochs_end(
    const stop_bound_state& state, const model::roster_document& roster);

} // namespace camphorhitch::membership
