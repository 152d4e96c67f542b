/// \file
/// Fleet documents: one for each pool, one for each wave, and the roster of entry hosts.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::model
{

/// State of a host in its pool.
enum class host_state
{
    serving,   ///< accepts requests and jobs
    draining,  ///< accepts no new work; earlier work may be in flight
    drained,   ///< certainly no work is in flight, and no entry host can send any
    rebooting, ///< handed to maintenance
    failed,    ///< absent without a drain, or did not return from maintenance
    held       ///< healthy, and kept empty as spare capacity
};

inline constexpr core::name_table<host_state, 6> host_state_names{{
    {host_state::serving, "serving"},
    {host_state::draining, "draining"},
    {host_state::drained, "drained"},
    {host_state::rebooting, "rebooting"},
    {host_state::failed, "failed"},
    {host_state::held, "held"},
}};

/// Reason for a state: the rule that decided, and the facts that it considered.
struct decision_record
{
    std::string rule;       ///< name of the rule
    std::string weighed;    ///< the facts that the rule considered, one line of text
    std::int64_t at_ms = 0; ///< time of the decision, Unix time in milliseconds

    bool operator==(const decision_record&) const = default;
};

/// Purpose of a drain. It determines what happens to the drained host.
enum class drain_purpose
{
    none,
    maintenance, ///< the host is rebooted and returns
    move,        ///< the host is handed over to another pool
    leaving      ///< the platform takes the host away
};

inline constexpr core::name_table<drain_purpose, 4> drain_purpose_names{{
    {drain_purpose::none, "none"},
    {drain_purpose::maintenance, "maintenance"},
    {drain_purpose::move, "move"},
    {drain_purpose::leaving, "leaving"},
}};

/// State of one host in the document of its pool.
struct host_record
{
    std::string id;
    std::string zone;
    std::string rack;
    double processors = 32;
    double memory_gb = 128;
    int accelerators = 0;
    std::string target;   ///< "ip:port" of the target on the host; empty: none
    int slots = 8;        ///< maximum number of concurrent requests at the target
    int connections = 64; ///< maximum number of connections of all entry hosts to the target
    host_state state = host_state::serving;
    drain_purpose purpose = drain_purpose::none;
    std::string wave;      ///< wave to which the drain belongs; empty: none
    std::string last_wave; ///< last wave in which the host was maintained; empty: none
    std::string move_to;   ///< destination pool of a move; empty: none
    std::string lent_by;   ///< spare pool that lent the host; empty: the host is not borrowed
    std::string command;   ///< id of the command or step that caused the state
    /// Incremented by each move. The pool whose record has the highest value owns the host. 0: the
    /// pool does not own the host yet.
    std::int64_t ownership = 1;
    /// Last value in the live list. During a reboot: the value when the reboot was ordered.
    std::int64_t boot_count = 0;
    std::int64_t since_ms = 0; ///< start of the state, Unix time in milliseconds
    decision_record why;       ///< reason for the state

    bool operator==(const host_record&) const = default;
};

/// A host that this pool handed over to another pool. The host belongs to the pool \p to from the
/// write that added this record.
struct released_host
{
    host_record host; ///< the record that the new pool adopts
    std::string to;   ///< the new pool

    bool operator==(const released_host&) const = default;
};

/// The hosts of one pool. Absences are counted against the budget of the pool by this document
/// only.
struct pool_document
{
    std::string pool;
    std::vector<host_record> hosts;
    std::vector<released_host> released; ///< handed over, not yet adopted by their new pools
    std::vector<std::string> commands;   ///< ids of the last applied commands, to detect repeats

    bool operator==(const pool_document&) const = default;
};

// Both functions return null when there is no such host.
host_record* find_host(pool_document& d, const std::string& id);
const host_record* find_host(const pool_document& d, const std::string& id);

/// Phase of a maintenance wave.
enum class wave_phase
{
    canary,
    growing,
    halted, ///< too many hosts did not return
    done,
    cancelled
};

inline constexpr core::name_table<wave_phase, 5> wave_phase_names{{
    {wave_phase::canary, "canary"},
    {wave_phase::growing, "growing"},
    {wave_phase::halted, "halted"},
    {wave_phase::done, "done"},
    {wave_phase::cancelled, "cancelled"},
}};

/// One maintenance wave. Only the documents of the pools record which of its hosts are done.
struct wave_document
{
    std::string id;
    std::vector<std::string> hosts;    ///< hosts selected when the wave started, sorted
    std::vector<std::string> admitted; ///< hosts that pools may drain now or have drained, sorted
    int batch = 0;                     ///< number of hosts in the latest batch
    wave_phase phase = wave_phase::canary;
    std::int64_t started_ms = 0; ///< Unix time in milliseconds
    std::int64_t ended_ms = 0;   ///< Unix time in milliseconds; 0: not ended
    /// Failures before the last resume by an operator. They do not halt the wave.
    int failures_excused = 0;
    int failed_at_end = 0; ///< number of hosts that had failed when the wave was done
    int gone_at_end = 0;   ///< number of hosts that were in no pool when the wave was done
    std::string policy;    ///< overrides the policies of the pools; empty: does not
    std::vector<std::string> commands; ///< ids of the last applied commands, to detect repeats
    decision_record why;               ///< reason for the phase

    bool operator==(const wave_document&) const = default;
};

/// An entry host as a member of a roster.
struct member_record
{
    std::string id;
    std::string incarnation; ///< unique for each start of the process
    std::string address;     ///< "ip:port" at which peers connect
    std::string zone;

    bool operator==(const member_record&) const = default;
};

/// The members of an earlier epoch.
struct former_roster
{
    std::uint64_t epoch = 0;
    std::vector<member_record> members;

    bool operator==(const former_roster&) const = default;
};

/// The current members. Their ids determine, by rendezvous hashing, which member owns which pool
/// and slot.
struct roster_document
{
    std::uint64_t epoch = 0;
    std::vector<member_record> members;
    std::vector<former_roster> history; ///< earlier rosters, newest first; bounded in number

    bool operator==(const roster_document&) const = default;
};

} // namespace camphorhitch::model
