/// \file
/// Maintenance waves: which hosts are emptied next, and which may enter maintenance now. Also
/// applies the platform's list of machines to the hosts.
#pragma once

#include "coordinator/fleet.hpp"
#include "ports/machines.hpp"

#include <set>

namespace camphorhitch::coordinator
{

/// The platform's newest list of machines.
struct machine_table
{
    /// By machine id.
    std::map<std::string, ports::machine_entry> machines;
    std::set<std::string> moving; ///< machines with a move between pools that is decided
    std::set<std::string> pools_without_spare; ///< pools that have no host to give away
    core::mono_time requested_at;              ///< when the request for the list was sent
    /// False: no list has been received.
    bool known = false;
};

/// \return the machine's entry, or nullptr when the list doesn't contain the machine.
const ports::machine_entry* find_machine(const machine_table& list, const std::string& id);

/// Records on which machine each runner lives. Ends the runners whose machine has another runner
/// now, or has none because it moves or is in maintenance: a machine has one runner at a time, so
/// nothing of the former runner is active any more. This spares the next coordinator the wait for
/// the leases of these runners.
/// \param list_lag a list may be this much older than the request for it
void apply_machine_list(fleet& f,
    const machine_table& list,
    core::millis list_lag,
    core::mono_time now,
    task_events& out);

/// \return whether a machine list may end the wait of tasks for the leases of their runner.
bool needs_machine_list(const fleet& f);

/// An order to maintain a machine that has no final answer yet.
struct pending_maintenance_order
{
    /// Incarnation that was on the machine when the order was decided; the id that the list named
    /// if the incarnation was not known.
    std::string runner;
    core::mono_time sent_at; ///< when the order was last sent; zero: not yet
    /// An attempt had no answer: the platform may still carry it out at any time.
    bool unanswered = false;
};

/// A request of the operators to maintain a set of machines.
struct wave
{
    std::int64_t number = 0;
    std::vector<std::string> machines;
    /// Machines that may be down at the same time.
    int max_at_once = 1;
    /// When the wave should be completed.
    core::mono_time due;
    core::mono_time request_read_at;        ///< when this coordinator read the request
    std::set<std::string> started_machines; ///< machines whose maintenance has started or is over
    std::map<std::string, pending_maintenance_order> pending_orders; ///< by machine
    /// By machine: when its maintenance started; until a list shows it up again.
    std::map<std::string, core::mono_time> down_since;
    bool completed = false;
};

/// Times and bounds of maintenance waves.
struct wave_settings
{
    /// Hosts that are emptied in advance, so that one is ready when another machine may go down.
    int hosts_closed_ahead = 2;
    /// A list that was requested within this time after an order may not show the effect of the
    /// order yet. The same holds for the request of the wave: such a list may lack machines of the
    /// wave.
    core::millis list_lag{300};
    /// The batch tasks of a closed host may end by themselves for this long, then they are stopped.
    core::millis batch_task_timeout{2500};
    /// Usual time for emptying and maintaining a host; the end of a wave is estimated from it.
    core::millis time_per_host{4000};
    /// Kept free before the due time of the wave, for hosts that take longer.
    core::millis schedule_reserve{3500};
    /// Time from the stop of a long-running task until it works on another host. The next task of
    /// its step may have to wait for this long.
    core::millis evacuation_time{2000};
};

/// Applies the newest machine list to the wave.
/// \return whether the wave has become completed by this call.
bool update_wave(wave& w, const machine_table& list, const wave_settings& s);

/// Opens the hosts that the wave closed and whose maintenance turned out to be done before the
/// order that this coordinator sent.
void reopen_maintained_hosts(fleet& f, const wave& w, const machine_table& list);

/// \return the machines that the wave has closed or ordered into maintenance; they must not be
/// moved.
std::set<std::string> held_machines(const fleet& f, const wave& w, const machine_table& list);

/// Closes the hosts that are maintained next, stops their tasks where that is allowed, and selects
/// the hosts that are empty.
/// \return the machines whose maintenance may be ordered now.
std::vector<std::string> plan_wave(fleet& f,
    wave& w,
    const machine_table& list,
    const wave_settings& s,
    core::mono_time now,
    task_events& out);

/// Prepares sending or repeating the maintenance order for a machine. An earlier attempt may have
/// been carried out without an answer, and the host may be back with tasks. Before a repeat the
/// host is therefore closed and emptied, once the platform's machine service answers. Tasks that
/// can't run elsewhere delay the repeat for a limited time only.
/// \return whether the order may be sent now; it is recorded as sent in this case.
bool prepare_maintenance_order(fleet& f,
    wave& w,
    const machine_table& list,
    const std::string& machine,
    const wave_settings& s,
    core::mono_time now,
    task_events& out);

/// Applies the platform's answer that the maintenance of \p machine has started, by this order or
/// by an earlier one, of this coordinator or of another. The answer therefore proves nothing about
/// the runner that is on the machine now; the machine list shows it.
void handle_maintenance_started(
    fleet& f, wave& w, const machine_table& list, const std::string& machine, core::mono_time now);

/// Records that the platform gave no answer to the maintenance order.
void record_unanswered_order(wave& w, const std::string& machine);

/// Evaluates a refusal of the platform to maintain \p machine now.
/// \return whether an earlier order may still take effect: an earlier attempt had no answer, and
/// the machine hasn't left since.
bool order_may_take_effect(const wave& w, const machine_table& list, const std::string& machine);

/// Applies the platform's answer that \p machine is not part of the wave: the wave has nothing left
/// to do for it.
void remove_from_wave(fleet& f, wave& w, const machine_table& list, const std::string& machine);

/// Stops the long-running tasks on hosts that are about to leave, as far as max_unavailable of
/// their steps allows. Batch tasks usually end before the host leaves.
void evacuate_draining_hosts(fleet& f, core::mono_time now, task_events& out);

/// Stops the tasks of the host: long-running tasks within max_unavailable of their steps, batch
/// tasks only when \p batch_too.
void evacuate_host(fleet& f, host_entry& h, bool batch_too, core::mono_time now, task_events& out);

} // namespace camphorhitch::coordinator
