/// \file
/// The next steps of one pool, decided by its owner from what it sees.
///
/// Deciding again from the same or from older views does no harm: a write is conditional on the
/// revision that it was decided from, a reboot is ordered only after the write that says so and
/// under an id that is the same for the same turn, and all else is a repeat.
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

/// What the dispatcher and the jobs' decider of this process know of one host, when they work by
/// the very document that the decision is made from.
struct host_activity
{
    std::string host;
    /// The dispatcher grants nothing for the host, since it was told so.
    bool stopped = false;
    /// This process is fresh and owns the pool, the take-over is complete, and no permit of a
    /// former owner or of a silent member can be outstanding.
    bool certain = false;
    int requests = 0; ///< permits outstanding
    int jobs = 0;     ///< tasks that run there, or may
};

/// \return whether nothing is in flight on the host and nobody can send to it.
bool is_quiet(const host_activity& a);

struct fleet_settings
{
    core::millis live_list_lag{5000}; ///< the platform's list is never older than this
    core::millis drain_report_every{60000};
    /// How long a guest stays when it is not needed: the wave's next pool may want it next.
    core::millis guest_stay{10000};
};

/// What the owner remembers of one host's state, on its own clock: no timeout compares the wall
/// times of two processes. After a take-over the times start anew.
struct host_timer
{
    model::host_state state = model::host_state::serving;
    std::string command;
    core::mono_time since{};
    std::optional<core::mono_time> reboot_acknowledged;
    std::optional<core::mono_time> reported;
};

struct pool_memory
{
    std::map<std::string, host_timer> hosts;
    std::optional<core::mono_time> short_of_guests; ///< since when drains wait for a guest
    std::optional<core::mono_time> guests_idle; ///< since when there are more guests than needed
};

/// Notes that the platform took \p command; a repeat of it is taken too.
void note_reboot_acknowledged(
    pool_memory& m, const std::string& host, const std::string& command, core::mono_time now);

/// The live list by host, so that each pool's decision looks at its own hosts only.
class live_lookup
{
public:
    explicit live_lookup(const ports::live_list& all);

    /// \return the entries of the hosts of \p d.
    ports::live_list of(const model::pool_document& d) const;

private:
    bool known_;
    std::unordered_map<std::string, ports::live_host> hosts_;
};

struct pool_inputs
{
    const pool_view& own; ///< as read or written last
    const model::configuration& config;
    const std::vector<wave_view>& waves;
    bool waves_known = false; ///< false: not read yet; nothing is concluded from a wave's absence
    other_pools others;
    const ports::live_list& live; ///< of this pool's hosts, or of more
    const std::vector<host_activity>& activity;
    fleet_settings settings;
    core::mono_time now;
    core::wall_time wall_now; ///< for records
};

/// Write the pool's document, if its revision is still \p expected.
struct write_pool
{
    model::pool_document document;
    std::int64_t expected = 0;
    std::vector<std::string> notes; ///< what changes, for the log
};

/// Order a reboot from the platform; then note_reboot_acknowledged(), when it was taken.
struct order_reboot
{
    std::string host;
    std::string command;
};

/// Tell the dispatcher to grant nothing more for a host, and the jobs' decider to place nothing.
struct stop_host
{
    std::string host;
};

/// Ask jobs that can't finish in \p time_left to move off.
struct move_jobs_off
{
    std::string host;
    core::millis time_left{0};
};

/// Tell operators of a drain that takes longer than the policy says.
struct report_slow_drain
{
    std::string host;
    std::string text;
};

using pool_action =
    std::variant<write_pool, order_reboot, stop_host, move_jobs_off, report_slow_drain>;

/// \param memory kept by the owner from one call to the next, empty after a take-over.
/// \return the steps to take now, none when all is well; at most one write, the last of them.
std::vector<pool_action> decide_pool(const pool_inputs& in, pool_memory& memory);

} // namespace camphorhitch::fleet
