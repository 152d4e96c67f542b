/// \file
/// Decides the next steps of one pool. The pool's owner, one entry host, calls it.
///
/// A decision repeated from the same or from older views is harmless: a write is conditional on the
/// revision that it was decided from; a reboot is ordered only after the hand-over has been
/// written, under a command id that is the same for the same hand-over; and every other action is
/// idempotent.
#pragma once

#include "core/time.hpp"
#include "fleet/ownership.hpp"
#include "fleet/waves.hpp"
#include "model/config.hpp"
#include "ports/platform.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace camphorhitch::fleet
{

/// Work in flight on one host, as counted by the dispatcher and the job decider of this process
/// while both use the same document revision that the decision is made from.
struct host_activity
{
    std::string host;
    /// The dispatcher has carried out stop_host and grants no permit for the host.
    bool stopped = false;
    /// The counts below are complete: this process is fresh and owns the pool, the takeover is
    /// complete, and no permit of a previous owner or of an unresponsive member can be outstanding.
    bool certain = false;
    int requests = 0; ///< outstanding permits
    int jobs = 0;     ///< tasks that run on the host or may run there
};

/// \return whether it is certain that nothing is in flight on the host and that no member can send
/// to it.
bool is_certainly_idle(const host_activity& a);

/// Settings of the pool decisions.
struct fleet_settings
{
    core::millis live_list_lag{5000};          ///< maximum age of the platform's live list
    core::millis drain_report_interval{60000}; ///< between two reports of the same slow drain
    /// How long a pool keeps a borrowed host that it does not need. The pool that the wave
    /// maintains next may need the host.
    core::millis surplus_host_retention{10000};
};

/// Timers of one host, on the monotonic clock of the pool's owner, so that no timeout compares the
/// wall clocks of two processes. After a takeover all timers start again.
struct host_timer
{
    model::host_state state = model::host_state::serving;
    std::string command;
    core::mono_time since{};                            ///< time when the state was first seen
    std::optional<core::mono_time> reboot_acknowledged; ///< time of the platform's acknowledgement
    std::optional<core::mono_time> reported;            ///< time of the last slow-drain report
};

/// Timers that the owner of a pool keeps from one decision to the next. They are not stored.
struct pool_timers
{
    std::map<std::string, host_timer> hosts; ///< by host id
    /// Time since which drains have waited for a borrowed host.
    std::optional<core::mono_time> waiting_for_borrowed_since;
    /// Time since which the pool has had more borrowed hosts than it needs.
    std::optional<core::mono_time> surplus_since;
};

/// Records the time when the platform acknowledged the reboot order \p command. The
/// acknowledgement of a repeated order counts too; only the first one is recorded.
void record_reboot_acknowledged(
    pool_timers& m, const std::string& host, const std::string& command, core::mono_time now);

/// Index of the live list by host, so that each pool's decision processes its own hosts only.
class live_list_index
{
public:
    explicit live_list_index(const ports::live_list& all);

    /// \return the entries of the hosts of \p d.
    ports::live_list of(const model::pool_document& d) const;

private:
    bool known_;
    std::unordered_map<std::string, ports::live_host> hosts_;
};

/// What one pool decision is made from.
struct pool_inputs
{
    const pool_view& own; ///< the pool's document as last read or written
    const model::configuration& config;
    const std::vector<wave_view>& waves;
    /// False while the waves have not been read; then nothing is concluded from a missing wave.
    bool waves_known = false;
    other_pool_views others;
    const ports::live_list& live; ///< covers this pool's hosts; may cover other hosts too
    const std::vector<host_activity>& activity;
    fleet_settings settings;
    core::mono_time now;
    core::wall_time wall_now; ///< for records only
};

/// Action: write the pool's document if its store revision is still \p expected.
struct write_pool
{
    model::pool_document document;
    std::int64_t expected = 0;
    std::vector<std::string> notes; ///< descriptions of the changes, for the log
};

/// Action: order a reboot from the platform, and call record_reboot_acknowledged() when the
/// platform has acknowledged the order.
struct order_reboot
{
    std::string host;
    std::string command;
};

/// Action: stop the dispatcher from granting permits for a host, and the job decider from placing
/// tasks on it.
struct stop_host
{
    std::string host;
};

/// Action: move jobs that can't finish within \p time_left to other hosts.
struct move_jobs_off
{
    std::string host;
    core::millis time_left{0};
};

/// Action: report to operators that a drain takes longer than the policy's drain timeout.
struct report_slow_drain
{
    std::string host;
    std::string text;
};

using pool_action =
    std::variant<write_pool, order_reboot, stop_host, move_jobs_off, report_slow_drain>;

/// Decides what the owner of a pool does next.
/// \param timers kept by the owner from one call to the next; empty after a takeover.
/// \return the actions to carry out now, possibly none. At most one of them is a write, and it
/// comes last.
std::vector<pool_action> decide_pool(const pool_inputs& in, pool_timers& timers);

} // namespace camphorhitch::fleet
