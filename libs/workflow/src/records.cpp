#include "workflow/records.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace camphorhitch::workflow
{

namespace
{

using nlohmann::json;

template <class T>
void put(json& to, const char* key, const T& v)
{
    if (v != T{})
    {
        to[key] = v;
    }
}

void put(json& to, const char* key, core::millis v)
{
    put(to, key, v.count());
}

template <class T>
void get(const json& from, const char* key, T& out)
{
    if (const auto it = from.find(key); it != from.end())
    {
        it->get_to(out);
    }
}

void get(const json& from, const char* key, core::millis& out)
{
    std::int64_t n = out.count();
    get(from, key, n);
    out = core::millis{n};
}

json step_to_json(const step& s)
{
    json out = json::object();
    put(out, "tasks", s.tasks);
    put(out, "cpu", s.need.cpu);
    put(out, "memory_mb", s.need.memory_mb);
    put(out, "gpus", s.need.gpus);
    put(out, "estimate_ms", s.estimate);
    put(out, "after", s.after);
    put(out, "gang", s.gang);
    put(out, "one_rack", s.one_rack);
    put(out, "checkpoints", s.checkpoints);
    put(out, "speculative", s.speculative);
    put(out, "long_running", s.long_running);
    put(out, "fills", s.fills);
    put(out, "label", s.required_label);
    put(out, "near_rack", s.near_rack);
    put(out, "most_per_host", s.most_per_host);
    put(out, "image", s.image);
    put(out, "tail_target_ms", s.tail_target);
    put(out, "may_be_away", s.may_be_away);
    return out;
}

step step_from_json(const json& from)
{
    step s;
    get(from, "tasks", s.tasks);
    get(from, "cpu", s.need.cpu);
    get(from, "memory_mb", s.need.memory_mb);
    get(from, "gpus", s.need.gpus);
    get(from, "estimate_ms", s.estimate);
    get(from, "after", s.after);
    get(from, "gang", s.gang);
    get(from, "one_rack", s.one_rack);
    get(from, "checkpoints", s.checkpoints);
    get(from, "speculative", s.speculative);
    get(from, "long_running", s.long_running);
    get(from, "fills", s.fills);
    get(from, "label", s.required_label);
    get(from, "near_rack", s.near_rack);
    get(from, "most_per_host", s.most_per_host);
    get(from, "image", s.image);
    get(from, "tail_target_ms", s.tail_target);
    get(from, "may_be_away", s.may_be_away);
    return s;
}

core::error damaged(const std::string& what, const std::string& why)
{
    return {core::error_code::invalid, "damaged " + what + ": " + why};
}

/// Payloads are any text that a caller sent; what is not UTF-8 was refused at the door.
std::string to_text(const json& from)
{
    return from.dump(-1, ' ', false, json::error_handler_t::replace);
}

void set_task(job_progress& p, std::size_t place, const json& entry)
{
    auto& t = p.tasks.at(place);
    get(entry, "failed_runs", t.failed_runs);
    get(entry, "checkpoint", t.checkpoint);
}

} // namespace

std::string write_job(const job& j)
{
    json out = json::object();
    put(out, "id", j.id);
    put(out, "queue", j.queue);
    put(out, "pool", j.pool);
    put(out, "payload", j.payload);
    put(out, "occurrences", j.timing.occurrences);
    put(out, "first_unix_ms", j.timing.first_unix_ms);
    put(out, "interval_ms", j.timing.interval_ms);
    put(out, "accepted_unix_ms", j.accepted_unix_ms);
    put(out, "priority", j.priority);
    put(out, "most_attempts", j.most_attempts);
    put(out, "stretch", j.stretch);
    put(out, "slack_ms", j.slack);
    put(out, "advised", j.advised);
    auto& steps = out["steps"] = json::array();
    for (const auto& it : j.steps)
    {
        steps.push_back(step_to_json(it));
    }
    return to_text(out);
}

core::result<job> read_job(const std::string& text)
{
    try
    {
        const auto from = json::parse(text);
        job j;
        get(from, "id", j.id);
        get(from, "queue", j.queue);
        get(from, "pool", j.pool);
        get(from, "payload", j.payload);
        get(from, "occurrences", j.timing.occurrences);
        get(from, "first_unix_ms", j.timing.first_unix_ms);
        get(from, "interval_ms", j.timing.interval_ms);
        get(from, "accepted_unix_ms", j.accepted_unix_ms);
        get(from, "priority", j.priority);
        get(from, "most_attempts", j.most_attempts);
        get(from, "stretch", j.stretch);
        get(from, "slack_ms", j.slack);
        get(from, "advised", j.advised);
        for (const auto& it : from.at("steps"))
        {
            j.steps.push_back(step_from_json(it));
        }
        return j;
    }
    catch (const json::exception& ec)
    {
        return damaged("job", ec.what());
    }
}

std::string write_progress(const job& j, const job_progress& p)
{
    json out = json::object();
    out["state"] = std::string{core::name_of(job_state_names, p.state)};
    if (!is_final(p.state) &&
        p.tasks.size() == tasks_per_occurrence(j) * static_cast<std::size_t>(occurrences_of(j)))
    {
        std::string done(p.tasks.size(), '0');
        json more = json::object();
        for (std::size_t i = 0; i < p.tasks.size(); ++i)
        {
            const auto& t = p.tasks[i];
            done[i] = t.done ? '1' : '0';
            json entry = json::object();
            put(entry, "failed_runs", t.failed_runs);
            put(entry, "checkpoint", t.done ? std::string{} : t.checkpoint);
            if (!entry.empty())
            {
                more[std::to_string(i)] = std::move(entry);
            }
        }
        out["done"] = std::move(done);
        put(out, "tasks", more);
    }
    return to_text(out);
}

core::result<job_progress> read_progress(const job& j, const std::string& text)
{
    try
    {
        const auto from = json::parse(text);
        const auto state = core::value_of(job_state_names, from.at("state").get<std::string>());
        if (!state)
        {
            return damaged("progress", "no such state");
        }
        job_progress p;
        p.state = *state;
        p.tasks.resize(tasks_per_occurrence(j) * static_cast<std::size_t>(occurrences_of(j)));
        std::string done;
        get(from, "done", done);
        for (std::size_t i = 0; i < std::min(done.size(), p.tasks.size()); ++i)
        {
            p.tasks[i].done = done[i] == '1';
        }
        if (const auto more = from.find("tasks"); more != from.end())
        {
            for (const auto& [place, entry] : more->items())
            {
                set_task(p, std::stoul(place), entry);
            }
        }
        return p;
    }
    catch (const std::exception& ec)
    {
        return damaged("progress", ec.what());
    }
}

core::result<job_state> read_progress_state(const std::string& text)
{
    try
    {
        const auto from = json::parse(text);
        if (const auto s = core::value_of(job_state_names, from.at("state").get<std::string>()))
        {
            return *s;
        }
        return damaged("progress", "no such state");
    }
    catch (const json::exception& ec)
    {
        return damaged("progress", ec.what());
    }
}

std::string write_task_name(const task_name& name)
{
    return name.job + '.' + std::to_string(name.occurrence) + '.' + std::to_string(name.step) +
           '.' + std::to_string(name.index);
}

core::result<task_name> read_task_name(std::string_view text)
{
    task_name out;
    int* const numbers[] = {&out.index, &out.step, &out.occurrence};
    std::string_view rest = text;
    for (int* const it : numbers)
    {
        const auto dot = rest.rfind('.');
        if (dot == std::string_view::npos)
        {
            return damaged("task name", std::string{text});
        }
        const auto digits = rest.substr(dot + 1);
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), *it);
        if (ec != std::errc{} || end != digits.data() + digits.size() || *it < 0)
        {
            return damaged("task name", std::string{text});
        }
        rest = rest.substr(0, dot);
    }
    out.job = std::string{rest};
    return out;
}

} // namespace camphorhitch::workflow
