/// \file
/// Maintenance waves: which hosts are emptied next, and which may go down now.
#pragma once

#include "coordinator/fleet.hpp"
#include "ports/machines.hpp"

#include <set>

namespace camphorhitch::coordinator
{

/// The platform's newest list of machines, by id.
struct machine_table
{
    std::map<std::string, ports::machine_entry> machines;
    std::set<std::string> moving;      ///< a move between pools is decided
    std::set<std::string> short_pools; ///< they have no host to spare
    core::mono_time read_at;           ///< when the call for it was sent
    bool known = false;
};

/// \return the machine's entry, or nullptr when the list doesn't show it.
const ports::machine_entry* find_machine(const machine_table& list, const std::string& id);

/// Notes which machine each runner is a life of, and ends the runners whose machine has another
/// one by now, or none while it moves or is maintained: a machine has one life at a time, so
/// nothing of the old one still runs. Saves a successor the wait for their leases.
/// \param list_lag a list may be so much older than the call for it
void match_machines(fleet& f,
    const machine_table& list,
    core::millis list_lag,
    core::mono_time now,
    task_events& out);

/// \return whether the list of machines may spare tasks the wait for their runner's leases.
bool awaits_list(const fleet& f);

/// An order to maintain a machine that has no answer yet.
struct order_out
{
    std::string runner;      ///< that the list named when the order was decided
    core::mono_time sent_at; ///< last; zero: not yet
    bool unheard = false;    ///< a try had no answer: it may be carried out any time
};

struct wave
{
    std::int64_t number = 0;
    std::vector<std::string> machines;
    int most_at_once = 1;
    core::mono_time due;
    core::mono_time taken_at;                       ///< when this owner read the request
    std::set<std::string> begun;                    ///< their maintenance has begun, or is over
    std::map<std::string, order_out> asked;         ///< by machine
    std::map<std::string, core::mono_time> down_at; ///< begun and not seen up again
    bool completed = false;
};

struct wave_settings
{
    /// Hosts that are emptied ahead of a free place, so that one is ready when it comes.
    int ahead = 2;
    /// A list that was asked for sooner after an order, or after the wave's request, may not show
    /// its effect, or all machines of the wave, yet.
    core::millis list_lag{300};
    /// A closed host's batch tasks get this long to end by themselves, then they are stopped.
    core::millis patience{2500};
    /// A host takes about this long to be emptied and maintained; by it the wave's end is judged.
    core::millis turn{4000};
    /// Kept free before the wave's end, for turns that take longer.
    core::millis reserve{3500};
    /// From the stop of a long-running task to its being at work elsewhere: so long the next one of
    /// its step may have to wait.
    core::millis evacuation{2000};
};

/// Notes what the newest list shows.
/// \return whether the wave has become completed.
bool see_machines(wave& w, const machine_table& list, const wave_settings& s);

/// Opens hosts that the wave has closed and needs no more: their maintenance was done before the
/// order that this owner sent.
void reopen_maintained(fleet& f, const wave& w, const machine_table& list);

/// \return machines that the wave has closed or taken; they are not to be moved.
std::set<std::string> held_machines(const fleet& f, const wave& w, const machine_table& list);

/// Closes hosts that come next, wants their tasks stopped where that is allowed, and picks those
/// that are empty.
/// \return machines whose maintenance may begin now.
std::vector<std::string> plan_wave(fleet& f,
    wave& w,
    const machine_table& list,
    const wave_settings& s,
    core::mono_time now,
    task_events& out);

/// An order may have been carried out unheard, and the host be back with work. Before a repeat the
/// host is closed and emptied, once the service of machines answers. Tasks that have nowhere to go
/// hold the repeat up for a while only.
/// \return whether the order may be sent now; it counts as sent then.
bool may_send_order(fleet& f,
    wave& w,
    const machine_table& list,
    const std::string& machine,
    const wave_settings& s,
    core::mono_time now,
    task_events& out);

/// The platform says that the maintenance of \p machine has begun, now or for an earlier order, of
/// this owner or another. So it proves nothing of the runner that is there: the list tells.
void maintenance_began(
    fleet& f, wave& w, const machine_table& list, const std::string& machine, core::mono_time now);

/// The platform gave no answer to the order.
void order_unheard(wave& w, const std::string& machine);

/// The platform refused to maintain \p machine now.
/// \return whether the order is out all the same: a try before had no answer, and the machine
/// hasn't left since.
bool keeps_place(const wave& w, const machine_table& list, const std::string& machine);

/// The platform says that \p machine is not part of the wave: nothing is left to be done for it.
void not_in_wave(fleet& f, wave& w, const machine_table& list, const std::string& machine);

/// Moves long-running tasks off hosts that are about to leave, as far as their steps allow; batch
/// tasks mostly end before.
void empty_draining_hosts(fleet& f, core::mono_time now, task_events& out);

/// Wants the host's tasks stopped: long-running ones within what their steps may miss, others
/// when \p batch_too.
void empty_host(fleet& f, host_entry& h, bool batch_too, core::mono_time now, task_events& out);

} // namespace camphorhitch::coordinator
