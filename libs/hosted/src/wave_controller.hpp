/// \file
/// Carries maintenance waves out: reads machines, orders maintenance, reports and records progress.
#pragma once

#include "coordinator/waves.hpp"
#include "term.hpp"

#include <map>
#include <vector>

namespace camphorhitch::hosted
{

class wave_runner
{
public:
    /// \param machines must outlive it
    wave_runner(term& t, const coordinator::machine_table& machines);

    /// The list of machines was read anew.
    void see_machines();

    bool has_open_wave() const;

    /// \return machines that open waves have closed or taken.
    std::set<std::string> held() const;

    /// The operators' waves; those that are known already go on.
    void set_waves(const std::vector<wave_request>& all);

    /// Decides what is due; called with each plan.
    void plan();

private:
    /// A wave, and what is stored of it.
    struct entry
    {
        coordinator::wave wave;
        std::int64_t due_unix_ms = 0;
        bool loaded = false; ///< the record of a former owner is in
        ports::revision record_revision = 0;
        ports::revision status_revision = 0;
        wave_state reported = wave_state::running;
        bool status_known = false; ///< the stored status is as reported
        bool writing = false;
        std::size_t recorded = 0; ///< begun machines in the record
    };

    void load(std::int64_t number);
    void load_status(std::int64_t number);
    void maintain(std::int64_t number, const std::string& machine);
    void maintain_later(std::int64_t number, const std::string& machine);
    void take_verdict(
        std::int64_t number, const std::string& machine, ports::machine_verdict verdict);
    void store(std::int64_t number);
    void take_stored(std::int64_t number,
        std::size_t begun,
        wave_state state,
        const ports::commit_result& result);

    term& term_;
    const coordinator::machine_table& machines_;
    std::map<std::int64_t, entry> waves_;
};

} // namespace camphorhitch::hosted
