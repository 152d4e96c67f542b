#include "promises.hpp"

#include <algorithm>
#include <map>

namespace camphorhitch::checker
{

namespace
{

using calls_of_id = std::vector<const call*>;

/// \return whether the answer to this call says that the call ran nothing.
bool denies_run(const call& c)
{
    return c.outcome == "not-run" || c.attempt == "not-sent";
}

class request_checker
{
public:
    request_checker(const records& r, verdict& to) : records_(r), to_(to)
    {
    }

    void check(const std::string& id, const calls_of_id& calls)
    {
        const bool keyed = calls.front()->keyed;
        ++to_.requests;
        to_.keyed += keyed ? 1 : 0;
        const auto found = records_.runs.find(id);
        const auto& runs = found == records_.runs.end() ? none_ : found->second;
        check_answers(id, calls, runs);
        check_denials(id, calls, runs);
        if (keyed)
        {
            check_once(id, calls, runs);
        }
    }

private:
    void add(promise which, const std::string& id, std::int64_t at_ms, const std::string& detail)
    {
        to_.breaches.push_back({which, "id=" + id, at_ms, detail});
    }

    void check_answers(
        const std::string& id, const calls_of_id& calls, const std::vector<run>& runs)
    {
        for (const auto* it : calls)
        {
            const bool answered = it->outcome == "answered";
            if (!it->own)
            {
                add(promise::complete_own_answer,
                    id,
                    it->begin_ms,
                    "the answer through " + it->entry + " is not whole or not its own");
            }
            if (answered && runs.empty())
            {
                add(promise::complete_own_answer,
                    id,
                    it->begin_ms,
                    "it was answered and never ran");
            }
            if (it->outcome.empty())
            {
                add(promise::complete_own_answer, id, it->begin_ms, "an answer without an outcome");
            }
        }
    }

    void check_denials(
        const std::string& id, const calls_of_id& calls, const std::vector<run>& runs)
    {
        for (const auto& one : runs)
        {
            const bool may_be = std::any_of(calls.begin(),
                calls.end(),
                [&](const call* it) { return !denies_run(*it) && it->begin_ms <= one.at_ms; });
            if (!may_be)
            {
                add(promise::not_run,
                    id,
                    one.at_ms,
                    "it ran at " + one.host + ", and each call until then was told not-run");
            }
        }
    }

    /// Checks a request with an idempotency key. An answer "not run" also says that no earlier call
    /// with the same key ran.
    void check_once(const std::string& id, const calls_of_id& calls, const std::vector<run>& runs)
    {
        for (const auto* it : calls)
        {
            const auto ran = std::find_if(
                runs.begin(), runs.end(), [&](const run& one) { return one.at_ms < it->end_ms; });
            if (it->outcome == "not-run" && ran != runs.end())
            {
                add(promise::not_run,
                    id,
                    it->end_ms,
                    it->entry + " told not-run (" + it->reason + "), and its key ran at " +
                        ran->host + " at " + std::to_string(ran->at_ms));
            }
        }
        const auto twice = records_.duplicates.find(id);
        const auto n =
            std::max(runs.size(), twice == records_.duplicates.end() ? 0 : twice->second.size());
        if (n > 1)
        {
            const auto& all = runs.size() == n ? runs : twice->second;
            std::string where;
            for (const auto& one : all)
            {
                where += " " + one.host + "@" + std::to_string(one.at_ms);
            }
            add(promise::at_most_once, id, all.back().at_ms, "its key ran at" + where);
        }
    }

    const records& records_;
    verdict& to_;
    const std::vector<run> none_;
};

} // namespace

void check_requests(const records& r, verdict& to)
{
    std::map<std::string, calls_of_id> by_id;
    for (const auto& it : r.calls)
    {
        by_id[it.id].push_back(&it);
    }
    request_checker checks(r, to);
    for (const auto& [id, calls] : by_id)
    {
        checks.check(id, calls);
    }
}

void check_jobs(const records& r, verdict& to)
{
    std::map<std::string, std::vector<const task_start*>> by_job;
    for (const auto& it : r.starts)
    {
        by_job[it.task.substr(0, it.task.find('/'))].push_back(&it);
    }
    to.starts += r.starts.size();
    to.jobs += r.jobs.size();
    for (const auto& it : r.jobs)
    {
        to.run_once += it.idempotent ? 0 : 1;
        const auto& starts = by_job[it.id];
        if (it.idempotent || starts.size() <= 1)
        {
            continue;
        }
        std::string where;
        for (const auto* one : starts)
        {
            where += " " + one->task + " on " + one->host;
        }
        to.breaches.push_back({promise::at_most_once,
            "job=" + it.id,
            starts.back()->started_ms,
            "it may run once only, and was started as" + where});
    }
}

} // namespace camphorhitch::checker
