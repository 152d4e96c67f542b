#include "machine_desk.hpp"

#include "coordinator/intake.hpp"
#include "demand_record.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

namespace
{

/// Plans follow each other within a tenth of a second, also on a node that is behind within this.
constexpr core::millis longest_planning_gap{1000};

} // namespace

machine_desk::machine_desk(term& t) : term_(t), planned_at_(t.now())
{
    moves_.settings = t.settings.rebalance;
    demand_.settings = t.settings.demand;
}

void machine_desk::start(std::function<void()> on_list, std::function<bool()> is_pressing)
{
    on_list_ = std::move(on_list);
    is_pressing_ = std::move(is_pressing);
    read();
}

void machine_desk::set_pools(const std::vector<pool_settings>& pools)
{
    pools_.clear();
    for (const auto& it : pools)
    {
        pools_.push_back({it.name, it.standby});
    }
}

void machine_desk::note_job(const workflow::job& j, core::mono_time at)
{
    const auto accepted = term_.fleet.jobs.at(j.id)->accepted_revision;
    if (accepted <= known_through_)
    {
        return; // the owner before has counted it
    }
    counted_through_ = std::max(counted_through_, accepted);
    double work = 0;
    for (const auto& s : j.steps)
    {
        if (!s.long_running)
        {
            constexpr double milli = 1000.0;
            work += static_cast<double>(s.need.cpu * s.tasks) / milli *
                    static_cast<double>(
                        coordinator::expected_time(term_.fleet.run_time_estimates, s).count()) /
                    milli;
        }
    }
    coordinator::note_arrival(demand_, j.pool, work, at);
}

std::string machine_desk::demand_record() const
{
    return write_demand(demand_,
        term_.fleet.run_time_estimates,
        counted_through_,
        term_.now(),
        core::to_unix_ms(term_.ctx.time.wall_now()));
}

void machine_desk::set_demand(const ports::stored_item& record)
{
    known_through_ = read_demand(record.value,
        record.modified,
        demand_,
        term_.fleet.run_time_estimates,
        term_.now(),
        core::to_unix_ms(term_.ctx.time.wall_now()));
    counted_through_ = known_through_;
    term_.log(ports::log_level::info,
        "demand_read",
        {{"revision", std::to_string(record.modified)},
            {"through", std::to_string(known_through_)},
            {"pools", std::to_string(demand_.pools.size())},
            {"images", std::to_string(term_.fleet.run_time_estimates.images.size())}});
}

void machine_desk::read()
{
    const auto asked = term_.now();
    term_.ctx.machines.list(
        term_.guarded([this, asked](const ports::machine_list& list) { take(asked, list); }));
}

void machine_desk::take(core::mono_time asked, const ports::machine_list& list)
{
    if (list.known)
    {
        table_.known = true;
        table_.read_at = asked;
        table_.machines.clear();
        for (const auto& it : list.machines)
        {
            table_.machines[it.id] = it;
        }
        coordinator::task_events out;
        coordinator::match_machines(
            term_.fleet, table_, term_.settings.waves.list_lag, term_.now(), out);
        term_.log(out);
        coordinator::see_moves(moves_, table_, term_.settings.waves.list_lag);
        on_list_();
        term_.wake();
    }
    read_later(asked);
}

/// Whether the list is wanted often may change at any time.
void machine_desk::read_later(core::mono_time last)
{
    term_.ctx.time.after(term_.settings.machines_every,
        term_.guarded(
            [this, last]
            {
                const bool due = term_.now() - last >= term_.settings.machines_idle;
                if (due || is_wanted_often())
                {
                    read();
                }
                else
                {
                    read_later(last);
                }
            }));
}

bool machine_desk::is_wanted_often() const
{
    return is_pressing_() || !moves_.moves.empty() || coordinator::awaits_list(term_.fleet) ||
           !term_.fleet.uncertain_losses.empty() ||
           !coordinator::find_unexamined(term_.fleet, term_.now()).pools.empty();
}

void machine_desk::resume()
{
    coordinator::resume_demand(demand_, term_.now());
    coordinator::resume_moves(moves_, term_.now());
}

/// An owner without the store plans nothing, however long; its first plan then comes late.
void machine_desk::note_plan()
{
    const auto now = term_.now();
    if (now - planned_at_ > longest_planning_gap)
    {
        resume();
    }
    planned_at_ = now;
}

void machine_desk::plan(const std::set<std::string>& held)
{
    note_plan();
    coordinator::task_events out;
    coordinator::update_demand(demand_, term_.now());
    if (!term_.settings.moves)
    {
        return;
    }
    const auto orders = coordinator::plan_moves(
        term_.fleet, moves_, demand_, table_, pools_, held, term_.now(), out);
    table_.short_pools = coordinator::pools_without_spare(moves_);
    table_.moving.clear();
    for (const auto& [machine, move] : moves_.moves)
    {
        table_.moving.insert(machine);
    }
    term_.log(out);
    for (const auto& it : orders)
    {
        order(it);
    }
}

void machine_desk::order(const coordinator::move_action& a)
{
    if (!term_.lead->holds_lease())
    {
        // Not sent: it is ordered again once a renewal is answered.
        coordinator::task_events out;
        coordinator::move_answered(
            term_.fleet, moves_, a.machine, ports::machine_verdict::unknown, term_.now(), out);
        term_.log(out);
        return;
    }
    term_.ctx.machines.move(a.machine,
        a.pool,
        term_.token,
        term_.guarded(
            [this, a](ports::machine_verdict verdict)
            {
                term_.log(ports::log_level::info,
                    "move_ordered",
                    {{"machine", a.machine},
                        {"to", a.pool},
                        {"answer",
                            std::string{core::name_of(ports::machine_verdict_names, verdict)}}});
                coordinator::task_events out;
                coordinator::move_answered(
                    term_.fleet, moves_, a.machine, verdict, term_.now(), out);
                term_.log(out);
                if (verdict == ports::machine_verdict::fenced)
                {
                    term_.fenced_by("the machines' service");
                }
                term_.wake();
            }));
}

} // namespace camphorhitch::hosted
