/// \file
/// Fleet documents: one per pool, one per wave, and the roster of entry hosts.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorhitch::model
{

enum class host_state
{
    serving,   ///< takes requests and jobs
    draining,  ///< takes nothing new; some work may be in flight
    drained,   ///< certainly nothing is in flight and nobody can send
    rebooting, ///< handed to maintenance
    failed,    ///< absent without a plan, or never came back
    held       ///< fit, and kept empty as spare capacity
};

inline constexpr core::name_table<host_state, 6> host_state_names{{
    {host_state::serving, "serving"},
    {host_state::draining, "draining"},
    {host_state::drained, "drained"},
    {host_state::rebooting, "rebooting"},
    {host_state::failed, "failed"},
    {host_state::held, "held"},
}};

/// Why something is as it is: the rule that decided and what it weighed.
struct decision_record
{
    std::string rule;
    std::string weighed; ///< one line for people
    std::int64_t at_ms = 0;

    bool operator==(const decision_record&) const = default;
};

/// What a drain is for, and so what follows it.
enum class drain_purpose
{
    none,
    maintenance, ///< reboot and return
    move,        ///< hand over to another pool
    leaving      ///< the platform takes the host away
};

inline constexpr core::name_table<drain_purpose, 4> drain_purpose_names{{
    {drain_purpose::none, "none"},
    {drain_purpose::maintenance, "maintenance"},
    {drain_purpose::move, "move"},
    {drain_purpose::leaving, "leaving"},
}};

struct host_record
{
    std::string id;
    std::string zone;
    std::string rack;
    double processors = 32;
    double memory_gb = 128;
    int accelerators = 0;
    std::string target;   ///< "ip:port" of its target, or empty
    int slots = 8;        ///< most requests at once at the target
    int connections = 64; ///< most connections of all entry hosts to the target
    host_state state = host_state::serving;
    drain_purpose purpose = drain_purpose::none;
    std::string wave;           ///< wave that the drain belongs to, or empty
    std::string maintained;     ///< last wave that maintained it, or empty
    std::string move_to;        ///< pool that a move goes to, or empty
    std::string lent_by;        ///< spare pool that lent the host, or empty for a pool's own
    std::string command;        ///< id of the command or step behind the state
    std::int64_t ownership = 1; ///< grows with each move; the highest is the owner; 0: not ours yet
    std::int64_t boot_count = 0; ///< last seen in the live list; at a reboot's order, the old one
    std::int64_t since_ms = 0;   ///< when the state began
    decision_record why;

    bool operator==(const host_record&) const = default;
};

/// A host that this pool gave away. From the very write that put it here, it belongs to \p to.
struct released_host
{
    host_record host; ///< as the new pool shall adopt it
    std::string to;

    bool operator==(const released_host&) const = default;
};

/// The hosts of one pool. Budgets are counted inside this document and nowhere else.
struct pool_document
{
    std::string pool;
    std::vector<host_record> hosts;
    std::vector<released_host> released; ///< not yet adopted by their new pool
    std::vector<std::string> commands;   ///< ids of the newest commands applied, for repeats

    bool operator==(const pool_document&) const = default;
};

host_record* find_host(pool_document& d, const std::string& id);
const host_record* find_host(const pool_document& d, const std::string& id);

enum class wave_phase
{
    canary,
    growing,
    halted, ///< too many hosts did not come back
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

/// One maintenance wave. Which of its hosts are done stands in the pools' documents alone.
struct wave_document
{
    std::string id;
    std::vector<std::string> hosts;    ///< selected when it was started, sorted
    std::vector<std::string> admitted; ///< those that pools may drain now or have drained, sorted
    int batch = 0;                     ///< size of the newest batch
    wave_phase phase = wave_phase::canary;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;
    int failures_excused = 0; ///< failures that operators resumed over
    int failed_at_end = 0;    ///< hosts that had failed when the wave was done
    int gone_at_end = 0;      ///< hosts that were in no pool any more when the wave was done
    std::string policy;       ///< overrides the pools' policies, or empty
    std::vector<std::string> commands;
    decision_record why;

    bool operator==(const wave_document&) const = default;
};

struct member_record
{
    std::string id;
    std::string incarnation; ///< new at every start
    std::string address;     ///< "ip:port" for peers
    std::string zone;

    bool operator==(const member_record&) const = default;
};

/// Members at one epoch of the past.
struct former_roster
{
    std::uint64_t epoch = 0;
    std::vector<member_record> members;

    bool operator==(const former_roster&) const = default;
};

/// The entry hosts in force. Who owns what follows from it by rendezvous hashing.
struct roster_document
{
    std::uint64_t epoch = 0;
    std::vector<member_record> members;
    std::vector<former_roster> history; ///< newest first, bounded

    bool operator==(const roster_document&) const = default;
};

} // namespace camphorhitch::model
