#include "workflow/records.hpp"

#include "describe.hpp"

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

template <class T>
void get(const json& from, const char* key, T& out)
{
    if (const auto it = from.find(key); it != from.end())
    {
        it->get_to(out);
    }
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
    return checked_json::encode(j);
}

core::result<job> read_job(const std::string& text)
{
    auto read = checked_json::decode<job>(text, "job", checked_json::strictness::lenient);
    if (const auto* const found = std::get_if<core::findings>(&read))
    {
        return damaged("job", core::to_text(*found));
    }
    return std::get<job>(std::move(read));
}

std::string write_progress(const job& j, const job_progress& p)
{
    json out = json::object();
    out["state"] = std::string{core::name_of(job_state_names, p.state)};
    put(out, "ended_unix_ms", p.ended_unix_ms);
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
        get(from, "ended_unix_ms", p.ended_unix_ms);
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

core::result<job_end> read_progress_end(const std::string& text)
{
    try
    {
        const auto from = json::parse(text);
        const auto state = core::value_of(job_state_names, from.at("state").get<std::string>());
        if (!state)
        {
            return damaged("progress", "no such state");
        }
        job_end out{*state, 0};
        get(from, "ended_unix_ms", out.unix_ms);
        return out;
    }
    catch (const json::exception& ec)
    {
        return damaged("progress", ec.what());
    }
}

core::result<job_state> read_progress_state(const std::string& text)
{
    const auto end = read_progress_end(text);
    if (!core::is_ok(end))
    {
        return core::failure(end);
    }
    return core::value(end).state;
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
