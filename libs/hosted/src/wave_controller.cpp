#include "wave_controller.hpp"

#include "hosted/keys.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorhitch::hosted
{

using ports::kv_status;
using ports::machine_verdict;

namespace
{

/// Delay before repeating an order whose outcome is unknown, or which the platform cannot accept
/// now.
constexpr core::millis order_retry_delay{400};

/// Record of a wave for a successor.
struct wave_record
{
    std::int64_t due_unix_ms = 0;           ///< 0: not known
    std::set<std::string> started_machines; ///< machines whose maintenance has begun
};

std::string write_record(const wave_record& r)
{
    return nlohmann::json{{"due_unix_ms", r.due_unix_ms}, {"begun", r.started_machines}}.dump();
}

/// \return the record, empty if the text is damaged. Maintenance is then ordered again, and the
/// platform answers that it is done.
wave_record read_record(const std::string& text)
{
    const auto from = nlohmann::json::parse(text, nullptr, false);
    wave_record out;
    const bool is_valid = from.is_object() && from.contains("due_unix_ms") &&
                          from["due_unix_ms"].is_number_integer() && from.contains("begun") &&
                          from["begun"].is_array();
    if (!is_valid)
    {
        return out;
    }
    // A later time than a century after the epoch would overflow the clock when it is converted.
    constexpr std::int64_t latest_unix_ms = std::int64_t{100} * 365 * 24 * 3600 * 1000;
    const auto due = from["due_unix_ms"].get<std::int64_t>();
    out.due_unix_ms = due > 0 && due <= latest_unix_ms ? due : 0;
    for (const auto& it : from["begun"])
    {
        if (it.is_string())
        {
            out.started_machines.insert(it.get<std::string>());
        }
    }
    return out;
}

} // namespace

wave_controller::wave_controller(term& t, const coordinator::machine_table& machines)
    : term_(t), machines_(machines)
{
}

bool wave_controller::has_open_wave() const
{
    return std::any_of(
        waves_.begin(), waves_.end(), [](const auto& it) { return !it.second.wave.completed; });
}

std::set<std::string> wave_controller::held_machines() const
{
    std::set<std::string> out;
    for (const auto& [number, it] : waves_)
    {
        out.merge(coordinator::held_machines(term_.fleet, it.wave, machines_));
    }
    return out;
}

void wave_controller::apply_machine_list()
{
    for (auto& [number, it] : waves_)
    {
        coordinator::reopen_maintained_hosts(term_.fleet, it.wave, machines_);
        if (it.loaded && coordinator::update_wave(it.wave, machines_, term_.settings.waves))
        {
            term_.log(ports::log_level::info, "wave_completed", {{"wave", std::to_string(number)}});
            store_progress(number);
        }
    }
}

void wave_controller::set_waves(const std::vector<wave_request>& all)
{
    for (const auto& it : all)
    {
        const auto [position, added] = waves_.try_emplace(it.number);
        if (!added)
        {
            continue;
        }
        auto& w = position->second.wave;
        w.number = it.number;
        w.machines = it.machines;
        w.max_at_once = it.max_at_once;
        w.request_read_at = term_.now();
        w.due = w.request_read_at + it.duration;
        position->second.due_unix_ms =
            core::to_unix_ms(term_.ctx.time.wall_now()) + it.duration.count();
        term_.log(ports::log_level::info,
            "wave_taken",
            {{"wave", std::to_string(it.number)},
                {"machines", std::to_string(it.machines.size())},
                {"at_once", std::to_string(it.max_at_once)},
                {"duration_ms", std::to_string(it.duration.count())}});
        load_record(it.number);
    }
}

void wave_controller::load_record(std::int64_t number)
{
    term_.ctx.store.get(wave_record_key(number),
        ports::read_freshness::newest,
        term_.guarded(
            [this, number](const ports::item_read& read)
            {
                if (read.status != kv_status::ok)
                {
                    term_.ctx.time.after(term_.settings.store_retry_delay,
                        term_.guarded([this, number] { load_record(number); }));
                    return;
                }
                auto& it = waves_.at(number);
                if (read.item)
                {
                    it.record_revision = read.item->modified;
                    const auto record = read_record(read.item->value);
                    it.wave.started_machines = record.started_machines;
                    if (record.due_unix_ms > 0)
                    {
                        // The wave's duration counts from its request, not from this term's begin.
                        it.due_unix_ms = record.due_unix_ms;
                        const auto wall = core::to_unix_ms(term_.ctx.time.wall_now());
                        it.wave.due = term_.now() + core::millis{it.due_unix_ms - wall};
                    }
                    it.recorded_machines = it.wave.started_machines.size();
                    // When these machines went down is not known; the platform's list shows which
                    // of them are absent.
                }
                load_status(number);
            }));
}

void wave_controller::load_status(std::int64_t number)
{
    term_.ctx.store.get(term_.text_formats->wave_status_key(number),
        ports::read_freshness::newest,
        term_.guarded(
            [this, number](const ports::item_read& read)
            {
                if (read.status != kv_status::ok)
                {
                    term_.ctx.time.after(term_.settings.store_retry_delay,
                        term_.guarded([this, number] { load_status(number); }));
                    return;
                }
                auto& it = waves_.at(number);
                if (read.item)
                {
                    it.status_revision = read.item->modified;
                    const auto completed =
                        term_.text_formats->write_wave_status(wave_state::completed);
                    it.wave.completed = read.item->value == completed;
                    it.reported_state =
                        it.wave.completed ? wave_state::completed : wave_state::running;
                    it.status_known = true;
                }
                it.loaded = true;
                store_progress(number);
                term_.request_plan();
            }));
}

void wave_controller::plan()
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
            order_maintenance(number, machine);
        }
    }
}

void wave_controller::order_maintenance(std::int64_t number, const std::string& machine)
{
    if (!term_.lead->holds_lease())
    {
        // The term may continue once a renewal of the lease is answered. If the order were dropped,
        // it would never be sent for this machine.
        schedule_maintenance(number, machine);
        return;
    }
    coordinator::task_events out;
    const bool may = coordinator::prepare_maintenance_order(term_.fleet,
        waves_.at(number).wave,
        machines_,
        machine,
        term_.settings.waves,
        term_.now(),
        out);
    term_.log(out);
    if (!may)
    {
        schedule_maintenance(number, machine);
        return;
    }
    term_.ctx.machines.maintain(machine,
        number,
        term_.token,
        term_.guarded([this, number, machine](machine_verdict v)
            { handle_maintenance_answer(number, machine, v); }));
}

void wave_controller::schedule_maintenance(std::int64_t number, const std::string& machine)
{
    term_.ctx.time.after(order_retry_delay,
        term_.guarded([this, number, machine] { order_maintenance(number, machine); }));
}

void wave_controller::handle_maintenance_answer(
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
        coordinator::handle_maintenance_started(
            term_.fleet, it.wave, machines_, machine, term_.now());
        coordinator::update_wave(it.wave, machines_, term_.settings.waves);
        store_progress(number);
        break;
    case machine_verdict::fenced:
        term_.step_down_fenced("the machines' service");
        break;
    case machine_verdict::other_wave:
        coordinator::remove_from_wave(term_.fleet, it.wave, machines_, machine);
        break;
    case machine_verdict::busy:
    case machine_verdict::refused:
        if (coordinator::order_may_take_effect(it.wave, machines_, machine))
        {
            schedule_maintenance(number, machine);
            break;
        }
        term_.ctx.time.after(order_retry_delay,
            term_.guarded(
                [this, number, machine] { waves_.at(number).wave.pending_orders.erase(machine); }));
        break;
    case machine_verdict::unknown:
        // The machine may go down at any moment, so it keeps its place in the wave.
        coordinator::record_unanswered_order(it.wave, machine);
        schedule_maintenance(number, machine);
        break;
    }
    term_.request_plan();
}

void wave_controller::store_progress(std::int64_t number)
{
    auto& it = waves_.at(number);
    const auto state = it.wave.completed ? wave_state::completed : wave_state::running;
    const bool report = !it.status_known || it.reported_state != state;
    if (it.writing || (!report && it.recorded_machines == it.wave.started_machines.size()))
    {
        return;
    }
    it.writing = true;
    ports::store_transaction change;
    const auto status_key = term_.text_formats->wave_status_key(number);
    change.conditions = {{leader_key, term_.token},
        {wave_record_key(number), it.record_revision},
        {status_key, it.status_revision}};
    change.puts = {
        {wave_record_key(number), write_record({it.due_unix_ms, it.wave.started_machines}), 0}};
    if (report)
    {
        change.puts.push_back({status_key, term_.text_formats->write_wave_status(state), 0});
    }
    term_.ctx.store.commit(std::move(change),
        term_.guarded([this, number, machines = it.wave.started_machines.size(), state](
                          const ports::commit_result& result)
            { handle_store_answer(number, machines, state, result); }));
}

void wave_controller::handle_store_answer(
    std::int64_t number, std::size_t machines, wave_state state, const ports::commit_result& result)
{
    auto& it = waves_.at(number);
    it.writing = false;
    if (result.status == kv_status::ok)
    {
        it.record_revision = result.modified;
        it.recorded_machines = machines;
        if (!it.status_known || it.reported_state != state)
        {
            it.status_revision = result.modified;
            it.status_known = true;
            it.reported_state = state;
            term_.log(ports::log_level::info,
                "wave_reported",
                {{"wave", std::to_string(number)},
                    {"state", state == wave_state::completed ? "completed" : "running"}});
        }
        store_progress(number);
        return;
    }
    for (const auto& found : result.current)
    {
        if (found.key == wave_record_key(number))
        {
            it.record_revision = found.modified; // of an earlier write that had no answer
        }
        else if (found.key != leader_key)
        {
            it.status_revision = found.modified;
        }
    }
    term_.ctx.time.after(term_.settings.store_retry_delay,
        term_.guarded([this, number] { store_progress(number); }));
}

} // namespace camphorhitch::hosted
