/// \file
/// Keeps up with the platform's list of machines, and orders the moves between pools.
#pragma once

#include "coordinator/rebalance.hpp"
#include "term.hpp"

namespace camphorhitch::hosted
{

class machine_desk
{
public:
    explicit machine_desk(term& t);

    /// \param on_list called after each reading
    /// \param is_pressing whether the list is wanted often
    void start(std::function<void()> on_list, std::function<bool()> is_pressing);

    void set_pools(const std::vector<pool_settings>& pools);

    /// A job was accepted \p at; in the order of acceptance.
    void note_job(const workflow::job& j, core::mono_time at);

    /// Nobody decided on hosts until now, and callers may have been kept out: demand is taken as it
    /// was then. A new owner calls it once it knows the jobs that came meanwhile.
    void resume();

    /// What a successor is to know of the demand.
    std::string demand_record() const;

    /// Takes in what the owner before has learnt; a damaged record changes nothing.
    void set_demand(const ports::stored_item& record);

    /// Decides and orders moves. \p held: machines that a wave has closed or taken.
    void plan(const std::set<std::string>& held);

    coordinator::machine_table& table()
    {
        return table_;
    }

private:
    void read();
    void read_later(core::mono_time last);
    bool is_wanted_often() const;
    void take(core::mono_time asked, const ports::machine_list& list);
    void note_plan();
    void order(const coordinator::move_action& a);

    term& term_;
    coordinator::machine_table table_;
    coordinator::rebalancer moves_;
    coordinator::demand demand_;
    core::mono_time planned_at_;          ///< when hosts were last planned
    ports::revision known_through_ = 0;   ///< jobs up to here were in the record taken over
    ports::revision counted_through_ = 0; ///< the newest job whose arrival is counted
    std::vector<coordinator::pool_info> pools_;
    std::function<void()> on_list_;
    std::function<bool()> is_pressing_;
};

} // namespace camphorhitch::hosted
