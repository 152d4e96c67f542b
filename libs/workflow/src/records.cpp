#include "workflow/records.hpp"

#include "describe.hpp"
#include "workflow/checks.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

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

/// Times of day in milliseconds; far below what the clocks' nanoseconds hold.
constexpr std::int64_t latest_unix_ms = std::int64_t{100} * 365 * 24 * 3600 * 1000;

/// \return a whole number from 0 to \p most. Throws else: converted, a number that does not fit
/// would become any other.
std::int64_t whole(const json& it, std::int64_t most)
{
    if (!it.is_number_unsigned() || it.get<std::uint64_t>() > static_cast<std::uint64_t>(most))
    {
        throw std::out_of_range{"no such number"};
    }
    return it.get<std::int64_t>();
}

/// \return when the job became final; 0 when that is left out.
std::int64_t end_of(const json& from)
{
    const auto it = from.find("ended_unix_ms");
    return it == from.end() ? 0 : whole(*it, latest_unix_ms);
}

/// Numbers of runs begin anew above those of former terms; a term has a thousand.
constexpr std::int64_t most_run = std::int64_t{1} << 53;

json write_lost(const lost_run& it)
{
    json out = json::object();
    put(out, "run", it.run);
    put(out, "host", it.host);
    put(out, "machine", it.machine);
    put(out, "ran", it.ran);
    put(out, "certain", it.certain);
    put(out, "sole", it.sole);
    return out;
}

lost_run read_lost(const json& from)
{
    lost_run out;
    out.run = whole(from.at("run"), most_run);
    get(from, "host", out.host);
    get(from, "machine", out.machine);
    get(from, "ran", out.ran);
    get(from, "certain", out.certain);
    get(from, "sole", out.sole);
    return out;
}

void read_all_lost(const json& from, std::vector<lost_run>& out)
{
    const auto& all = from.get_ref<const json::array_t&>();
    if (all.size() > most_lost_runs)
    {
        throw std::out_of_range{"too many lost runs"};
    }
    std::transform(all.begin(), all.end(), std::back_inserter(out), read_lost);
}

void set_task(job_progress& p, std::size_t place, const json& entry)
{
    auto& t = p.tasks.at(place);
    if (const auto runs = entry.find("failed_runs"); runs != entry.end())
    {
        for (const auto& it : runs->get_ref<const json::array_t&>())
        {
            t.failed_runs.push_back(whole(it, most_run));
        }
    }
    get(entry, "checkpoint", t.checkpoint);
    if (const auto lost = entry.find("lost_runs"); lost != entry.end())
    {
        read_all_lost(*lost, t.lost_runs);
    }
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
    // What callers send is checked as well; a record that others wrote may name steps and tasks
    // that there are not.
    auto& j = std::get<job>(read);
    if (const auto wrong = check_job(j); !wrong.empty())
    {
        return damaged("job", core::to_text(wrong));
    }
    return std::move(j);
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
            if (!t.done && !t.lost_runs.empty())
            {
                auto& lost = entry["lost_runs"] = json::array();
                std::transform(
                    t.lost_runs.begin(), t.lost_runs.end(), std::back_inserter(lost), write_lost);
            }
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
        p.ended_unix_ms = end_of(from);
        p.tasks.resize(tasks_per_occurrence(j) * static_cast<std::size_t>(occurrences_of(j)));
        std::string done;
        get(from, "done", done);
        // Of an open job each task is told of: one that is done must not run again.
        const bool whole_text =
            done.size() == p.tasks.size() && done.find_first_not_of("01") == std::string::npos;
        if (!is_final(p.state) && !whole_text)
        {
            return damaged("progress", "not a digit for each task");
        }
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
        out.unix_ms = end_of(from);
        return out;
    }
    catch (const std::exception& ec)
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
