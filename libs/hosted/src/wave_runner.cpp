#include "wave_runner.hpp"

#include "hosted/keys.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorhitch::hosted
{

using ports::kv_status;
using ports::machine_verdict;

namespace
{

/// Between repeats of an order whose fate is open, or which the platform can't take now.
constexpr core::millis order_retry{400};

/// What a successor needs of a wave.
struct wave_record
{
    std::int64_t due_unix_ms = 0; ///< 0: not known
    std::set<std::string> begun;
};

std::string write_record(const wave_record& r)
{
    return nlohmann::json{{"due_unix_ms", r.due_unix_ms}, {"begun", r.begun}}.dump();
}

/// \return an empty record when the text is damaged: maintenance is ordered anew then, which the
/// platform takes for done.
wave_record read_record(const std::string& text)
{
    const auto from = nlohmann::json::parse(text, nullptr, false);
    wave_record out;
    const bool whole = from.is_object() && from.contains("due_unix_ms") &&
                       from["due_unix_ms"].is_number_integer() && from.contains("begun") &&
                       from["begun"].is_array();
    if (!whole)
    {
        return out;
    }
    // A century: a later time would overflow the clocks when it is reckoned from now.
    constexpr std::int64_t latest_unix_ms = std::int64_t{100} * 365 * 24 * 3600 * 1000;
    const auto due = from["due_unix_ms"].get<std::int64_t>();
    out.due_unix_ms = due > 0 && due <= latest_unix_ms ? due : 0;
    for (const auto& it : from["begun"])
    {
        if (it.is_string())
        {
            out.begun.insert(it.get<std::string>());
        }
    }
    return out;
}

} // namespace

wave_runner::wave_runner(term& t, const coordinator::machine_table& machines)
    : term_(t), machines_(machines)
{
}

bool wave_runner::has_open_wave() const
{
    return std::any_of(
        waves_.begin(), waves_.end(), [](const auto& it) { return !it.second.wave.completed; });
}

std::set<std::string> wave_runner::held() const
{
    std::set<std::string> out;
    for (const auto& [number, it] : waves_)
    {
        out.merge(coordinator::held_machines(term_.fleet, it.wave, machines_));
    }
    return out;
}

void wave_runner::see_machines()
{
    for (auto& [number, it] : waves_)
    {
        coordinator::reopen_maintained(term_.fleet, it.wave, machines_);
        if (it.loaded && coordinator::see_machines(it.wave, machines_, term_.settings.waves))
        {
            term_.log(ports::log_level::info, "wave_completed", {{"wave", std::to_string(number)}});
            store(number);
        }
    }
}

void wave_runner::set_waves(const std::vector<wave_request>& all)
{
    for (const auto& it : all)
    {
        const auto [place, added] = waves_.try_emplace(it.number);
        if (!added)
        {
            continue;
        }
        auto& w = place->second.wave;
        w.number = it.number;
        w.machines = it.machines;
        w.most_at_once = it.max_at_once;
        w.taken_at = term_.now();
        w.due = w.taken_at + it.duration;
        place->second.due_unix_ms =
            core::to_unix_ms(term_.ctx.time.wall_now()) + it.duration.count();
        term_.log(ports::log_level::info,
            "wave_taken",
            {{"wave", std::to_string(it.number)},
                {"machines", std::to_string(it.machines.size())},
                {"at_once", std::to_string(it.max_at_once)},
                {"duration_ms", std::to_string(it.duration.count())}});
        load(it.number);
    }
}

void wave_runner::load(std::int64_t number)
{
    term_.ctx.store.get(wave_record_key(number),
        ports::read_freshness::newest,
        term_.guarded(
            [this, number](const ports::item_read& read)
            {
                if (read.status != kv_status::ok)
                {
                    term_.ctx.time.after(term_.settings.store_retry,
                        term_.guarded([this, number] { load(number); }));
                    return;
                }
                auto& it = waves_.at(number);
                if (read.item)
                {
                    it.record_revision = read.item->modified;
                    const auto record = read_record(read.item->value);
                    it.wave.begun = record.begun;
                    if (record.due_unix_ms > 0)
                    {
                        // The wave's time runs from its request, not from this term's begin.
                        it.due_unix_ms = record.due_unix_ms;
                        const auto wall = core::to_unix_ms(term_.ctx.time.wall_now());
                        it.wave.due = term_.now() + core::millis{it.due_unix_ms - wall};
                    }
                    it.recorded = it.wave.begun.size();
                    // When they went down is not known; the platform's list tells who is away.
                }
                load_status(number);
            }));
}

void wave_runner::load_status(std::int64_t number)
{
    term_.ctx.store.get(term_.spelling->wave_status_key(number),
        ports::read_freshness::newest,
        term_.guarded(
            [this, number](const ports::item_read& read)
            {
                if (read.status != kv_status::ok)
                {
                    term_.ctx.time.after(term_.settings.store_retry,
                        term_.guarded([this, number] { load_status(number); }));
                    return;
                }
                auto& it = waves_.at(number);
                if (read.item)
                {
                    it.status_revision = read.item->modified;
                    const auto completed = term_.spelling->write_wave_status(wave_state::completed);
                    it.wave.completed = read.item->value == completed;
                    it.reported = it.wave.completed ? wave_state::completed : wave_state::running;
                    it.status_known = true;
                }
                it.loaded = true;
                store(number);
                term_.wake();
            }));
}

void wave_runner::plan()
{
    if (!machines_.known)
    {
        return;
    }
    for (auto& [number, it] : waves_)
    {
        if (!it.loaded || it.wave.completed)
        {
            continue;
        }
        coordinator::task_events out;
        const auto ready = coordinator::plan_wave(
            term_.fleet, it.wave, machines_, term_.settings.waves, term_.now(), out);
        term_.log(out);
        for (const auto& machine : ready)
        {
            maintain(number, machine);
        }
    }
}

void wave_runner::maintain(std::int64_t number, const std::string& machine)
{
    if (!term_.lead->holds_lease())
    {
        // The term may go on once a renewal is answered; dropped, the machine's turn would never
        // come again.
        maintain_later(number, machine);
        return;
    }
    coordinator::task_events out;
    const bool may = coordinator::may_send_order(term_.fleet,
        waves_.at(number).wave,
        machines_,
        machine,
        term_.settings.waves,
        term_.now(),
        out);
    term_.log(out);
    if (!may)
    {
        maintain_later(number, machine);
        return;
    }
    term_.ctx.machines.maintain(machine,
        number,
        term_.token,
        term_.guarded(
            [this, number, machine](machine_verdict v) { take_verdict(number, machine, v); }));
}

void wave_runner::maintain_later(std::int64_t number, const std::string& machine)
{
    term_.ctx.time.after(
        order_retry, term_.guarded([this, number, machine] { maintain(number, machine); }));
}

void wave_runner::take_verdict(
    std::int64_t number, const std::string& machine, machine_verdict verdict)
{
    auto& it = waves_.at(number);
    term_.ctx.tel.log(ports::log_level::info,
        "maintenance_ordered",
        {{"wave", std::to_string(number)},
            {"machine", machine},
            {"answer", std::string{core::name_of(ports::machine_verdict_names, verdict)}}});
    switch (verdict)
    {
    case machine_verdict::done:
        coordinator::maintenance_began(term_.fleet, it.wave, machines_, machine, term_.now());
        coordinator::see_machines(it.wave, machines_, term_.settings.waves);
        store(number);
        break;
    case machine_verdict::fenced:
        term_.fenced_by("the machines' service");
        break;
    case machine_verdict::other_wave:
        coordinator::not_in_wave(term_.fleet, it.wave, machines_, machine);
        break;
    case machine_verdict::busy:
    case machine_verdict::refused:
        if (coordinator::keeps_place(it.wave, machines_, machine))
        {
            maintain_later(number, machine);
            break;
        }
        term_.ctx.time.after(order_retry,
            term_.guarded(
                [this, number, machine] { waves_.at(number).wave.asked.erase(machine); }));
        break;
    case machine_verdict::unknown:
        // It may go down any moment, so it keeps its place in the wave.
        coordinator::order_unheard(it.wave, machine);
        maintain_later(number, machine);
        break;
    }
    term_.wake();
}

void wave_runner::store(std::int64_t number)
{
    auto& it = waves_.at(number);
    const auto state = it.wave.completed ? wave_state::completed : wave_state::running;
    const bool report = !it.status_known || it.reported != state;
    if (it.writing || (!report && it.recorded == it.wave.begun.size()))
    {
        return;
    }
    it.writing = true;
    ports::store_transaction change;
    const auto status_key = term_.spelling->wave_status_key(number);
    change.conditions = {{leader_key, term_.token},
        {wave_record_key(number), it.record_revision},
        {status_key, it.status_revision}};
    change.puts = {{wave_record_key(number), write_record({it.due_unix_ms, it.wave.begun}), 0}};
    if (report)
    {
        change.puts.push_back({status_key, term_.spelling->write_wave_status(state), 0});
    }
    term_.ctx.store.commit(std::move(change),
        term_.guarded(
            [this, number, begun = it.wave.begun.size(), state](const ports::commit_result& result)
            { take_stored(number, begun, state, result); }));
}

void wave_runner::take_stored(
    std::int64_t number, std::size_t begun, wave_state state, const ports::commit_result& result)
{
    auto& it = waves_.at(number);
    it.writing = false;
    if (result.status == kv_status::ok)
    {
        it.record_revision = result.modified;
        it.recorded = begun;
        if (!it.status_known || it.reported != state)
        {
            it.status_revision = result.modified;
            it.status_known = true;
            it.reported = state;
            term_.log(ports::log_level::info,
                "wave_reported",
                {{"wave", std::to_string(number)},
                    {"state", state == wave_state::completed ? "completed" : "running"}});
        }
        store(number);
        return;
    }
    for (const auto& found : result.current)
    {
        if (found.key == wave_record_key(number))
        {
            it.record_revision = found.modified; // an unanswered try of this node's own
        }
        else if (found.key != leader_key)
        {
            it.status_revision = found.modified;
        }
    }
    term_.ctx.time.after(
        term_.settings.store_retry, term_.guarded([this, number] { store(number); }));
}

} // namespace camphorhitch::hosted
