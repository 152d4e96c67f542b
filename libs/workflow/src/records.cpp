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
void put_if_set(json& to, const char* key, const T& v)
{
    if (v != T{})
    {
        to[key] = v;
    }
}

template <class T>
void get_if_present(const json& from, const char* key, T& out)
{
    if (const auto it = from.find(key); it != from.end())
    {
        it->get_to(out);
    }
}

core::error damaged_text(const std::string& what, const std::string& why)
{
    return {core::error_code::invalid, "damaged " + what + ": " + why};
}

/// Payloads are arbitrary texts from callers; those that are not UTF-8 were refused on submission.
std::string to_text(const json& from)
{
    return from.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Bound on a wall time in milliseconds, far below the range of the clocks' 64-bit nanoseconds.
constexpr std::int64_t max_unix_ms = std::int64_t{100} * 365 * 24 * 3600 * 1000;

/// \return a whole number from 0 to \p maximum. Throws std::out_of_range for any other value, since
/// the conversion of a number that does not fit would return an arbitrary one.
std::int64_t read_whole_number(const json& it, std::int64_t maximum)
{
    if (!it.is_number_unsigned() || it.get<std::uint64_t>() > static_cast<std::uint64_t>(maximum))
    {
        throw std::out_of_range{"number out of range"};
    }
    return it.get<std::int64_t>();
}

/// \return the wall time in milliseconds at which the job became final; 0 when the key is missing.
std::int64_t read_end_time(const json& from)
{
    const auto it = from.find("ended_unix_ms");
    return it == from.end() ? 0 : read_whole_number(*it, max_unix_ms);
}

json write_lost_run(const lost_run& it)
{
    json out = json::object();
    out["run"] = it.run; // 0: an unseen start in the first term
    put_if_set(out, "host", it.host);
    put_if_set(out, "machine", it.machine);
    put_if_set(out, "ran", it.confirmed);
    put_if_set(out, "certain", it.certain);
    put_if_set(out, "sole", it.only_suspect);
    put_if_set(out, "worked", it.survived_start);
    return out;
}

lost_run read_lost_run(const json& from)
{
    lost_run out;
    out.run = read_whole_number(from.at("run"), max_run_number);
    get_if_present(from, "host", out.host);
    get_if_present(from, "machine", out.machine);
    get_if_present(from, "ran", out.confirmed);
    get_if_present(from, "certain", out.certain);
    get_if_present(from, "sole", out.only_suspect);
    get_if_present(from, "worked", out.survived_start);
    return out;
}

/// Rows of cpu, memory and GPUs.
json write_resources(const resources& r)
{
    return json::array({r.cpu, r.memory_mb, r.gpus});
}

resources read_resources(const json& from)
{
    constexpr std::int64_t max_amount = std::int64_t{1} << 53;
    return {read_whole_number(from.at(0), max_amount),
        read_whole_number(from.at(1), max_amount),
        read_whole_number(from.at(2), max_amount)};
}

void read_lost_runs(const json& from, std::vector<lost_run>& out)
{
    const auto& all = from.get_ref<const json::array_t&>();
    if (all.size() > max_lost_runs)
    {
        throw std::out_of_range{"more lost runs than the bound"};
    }
    std::transform(all.begin(), all.end(), std::back_inserter(out), read_lost_run);
}

void read_task_entry(job_progress& p, std::size_t index, const json& entry)
{
    auto& t = p.tasks.at(index);
    if (const auto runs = entry.find("failed_runs"); runs != entry.end())
    {
        for (const auto& it : runs->get_ref<const json::array_t&>())
        {
            t.failed_runs.push_back(read_whole_number(it, max_run_number));
        }
    }
    get_if_present(entry, "checkpoint", t.checkpoint);
    if (const auto run = entry.find("checkpoint_run"); run != entry.end())
    {
        t.checkpoint_run = read_whole_number(*run, max_run_number);
    }
    if (const auto lost = entry.find("lost_runs"); lost != entry.end())
    {
        read_lost_runs(*lost, t.lost_runs);
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
        return damaged_text("job", core::to_text(*found));
    }
    // Submitted jobs are checked too, but a record that was written by another program may refer to
    // steps and tasks that do not exist.
    auto& j = std::get<job>(read);
    if (const auto wrong = check_job(j); !wrong.empty())
    {
        return damaged_text("job", core::to_text(wrong));
    }
    return std::move(j);
}

std::string write_progress(const job& j, const job_progress& p)
{
    json out = json::object();
    out["state"] = std::string{core::name_of(job_state_names, p.state)};
    put_if_set(out, "ended_unix_ms", p.ended_unix_ms);
    put_if_set(out, "workspace", j.workspace);
    if (p.held != resources{})
    {
        out["held"] = write_resources(p.held);
    }
    if (!is_final(p.state) &&
        p.tasks.size() == tasks_per_occurrence(j) * static_cast<std::size_t>(occurrence_count(j)))
    {
        std::string done(p.tasks.size(), '0');
        json more = json::object();
        for (std::size_t i = 0; i < p.tasks.size(); ++i)
        {
            const auto& t = p.tasks[i];
            done[i] = t.done ? '1' : '0';
            json entry = json::object();
            put_if_set(entry, "failed_runs", t.failed_runs);
            put_if_set(entry, "checkpoint", t.done ? std::string{} : t.checkpoint);
            put_if_set(entry, "checkpoint_run", t.done ? 0 : t.checkpoint_run);
            if (!t.done && !t.lost_runs.empty())
            {
                auto& lost = entry["lost_runs"] = json::array();
                std::transform(t.lost_runs.begin(),
                    t.lost_runs.end(),
                    std::back_inserter(lost),
                    write_lost_run);
            }
            if (!entry.empty())
            {
                more[std::to_string(i)] = std::move(entry);
            }
        }
        out["done"] = std::move(done);
        put_if_set(out, "tasks", more);
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
            return damaged_text("progress", "unknown state");
        }
        job_progress p;
        p.state = *state;
        p.ended_unix_ms = read_end_time(from);
        p.tasks.resize(tasks_per_occurrence(j) * static_cast<std::size_t>(occurrence_count(j)));
        std::string done;
        get_if_present(from, "done", done);
        // The progress of an open job must cover every task: a task that is done must not run
        // again.
        const bool complete =
            done.size() == p.tasks.size() && done.find_first_not_of("01") == std::string::npos;
        if (!is_final(p.state) && !complete)
        {
            return damaged_text("progress", "the done digits do not match the number of tasks");
        }
        for (std::size_t i = 0; i < std::min(done.size(), p.tasks.size()); ++i)
        {
            p.tasks[i].done = done[i] == '1';
        }
        if (const auto more = from.find("tasks"); more != from.end())
        {
            for (const auto& [index, entry] : more->items())
            {
                read_task_entry(p, std::stoul(index), entry);
            }
        }
        return p;
    }
    catch (const std::exception& ec)
    {
        return damaged_text("progress", ec.what());
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
            return damaged_text("progress", "unknown state");
        }
        job_end out;
        out.state = *state;
        out.unix_ms = read_end_time(from);
        get_if_present(from, "workspace", out.workspace);
        if (const auto held = from.find("held"); held != from.end())
        {
            out.held = read_resources(*held);
        }
        return out;
    }
    catch (const std::exception& ec)
    {
        return damaged_text("progress", ec.what());
    }
}

core::result<std::string> read_workspace(const std::string& text)
{
    try
    {
        const auto from = json::parse(text);
        std::string out;
        get_if_present(from, "workspace", out);
        return out;
    }
    catch (const std::exception& ec)
    {
        return damaged_text("record", ec.what());
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
    std::string_view remaining = text;
    for (int* const it : numbers)
    {
        const auto dot = remaining.rfind('.');
        if (dot == std::string_view::npos)
        {
            return damaged_text("task name", std::string{text});
        }
        const auto digits = remaining.substr(dot + 1);
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), *it);
        if (ec != std::errc{} || end != digits.data() + digits.size() || *it < 0)
        {
            return damaged_text("task name", std::string{text});
        }
        remaining = remaining.substr(0, dot);
    }
    out.job = std::string{remaining};
    return out;
}

} // namespace camphorhitch::workflow
