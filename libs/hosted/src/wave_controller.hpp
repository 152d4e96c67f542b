/// \file
/// Carries out maintenance waves: orders the maintenance of machines, reports progress to the
/// operators and records it for a successor.
#pragma once

#include "coordinator/waves.hpp"
#include "term.hpp"

#include <map>
#include <vector>

namespace camphorhitch::hosted
{

class wave_controller
{
public:
    /// \param machines must outlive it
    wave_controller(term& t, const coordinator::machine_table& machines);

    /// Applies the list of machines, after it has been read again.
    void apply_machine_list();

    bool has_open_wave() const;

    /// \return the machines that open waves have closed or taken down.
    std::set<std::string> held_machines() const;

    /// Adds the operators' waves; a wave that is already known continues unchanged.
    void set_waves(const std::vector<wave_request>& all);

    /// Plans the waves and orders the maintenance that is due; called with each plan.
    void plan();

private:
    /// A wave and the state of its stored record and status.
    struct entry
    {
        coordinator::wave wave;
        std::int64_t due_unix_ms = 0;
        bool loaded = false; ///< the stored record and status have been read
        ports::revision record_revision = 0;
        ports::revision status_revision = 0;
        wave_state reported_state = wave_state::running;
        bool status_known = false; ///< the stored status is known to be reported_state
        bool writing = false;
        std::size_t recorded_machines = 0; ///< number of machines in the stored record
    };

    void load_record(std::int64_t number);
    void load_status(std::int64_t number);
    void order_maintenance(std::int64_t number, const std::string& machine);
    void schedule_maintenance(std::int64_t number, const std::string& machine);
    void handle_maintenance_answer(
        std::int64_t number, const std::string& machine, ports::machine_verdict verdict);
    void store_progress(std::int64_t number);
    void handle_store_answer(std::int64_t number,
        std::size_t machines,
        wave_state state,
        const ports::commit_result& result);

    term& term_;
    const coordinator::machine_table& machines_;
    std::map<std::int64_t, entry> waves_;
};

} // namespace camphorhitch::hosted
