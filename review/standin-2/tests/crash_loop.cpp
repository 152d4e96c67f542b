// The only runner with the label that a job needs crashes five times, each time shortly after it
// has begun the job's task; then it stays up. Is the job shown as failed, though no run ended so?
#include "deployment.hpp"

#include <iostream>

namespace
{

using namespace standin;

constexpr int crashes = 5;
constexpr std::int64_t crash_after_ms = 200;
constexpr std::int64_t down_ms = 2000;
constexpr std::int64_t watched_ms = 60000;

struct crash_plan
{
    std::mutex mutex;
    std::string job;
    std::vector<std::string> to_crash;
    int starts = 0;
    int ends = 0;
    int failed_ends = 0;
};

int play(recorder& record, const std::string& folder, bool trouble)
{
    crash_plan plan;
    runner_events events;
    events.on_start = [&](const std::string& id, const std::string& task, std::int64_t run)
    {
        const std::lock_guard lock(plan.mutex);
        if (!plan.job.empty() && task.rfind(plan.job, 0) == 0)
        {
            record.line("task " + task + " run " + std::to_string(run) + " begins on " + id);
            ++plan.starts;
            if (trouble && plan.starts <= crashes)
            {
                plan.to_crash.push_back(id);
            }
        }
    };
    events.on_end = [&](const std::string& id,
                        const std::string& task,
                        std::int64_t run,
                        const std::string& how)
    {
        const std::lock_guard lock(plan.mutex);
        if (!plan.job.empty() && task.rfind(plan.job, 0) == 0)
        {
            record.line("task " + task + " run " + std::to_string(run) + " on " + id + ": " + how);
            ++plan.ends;
            plan.failed_ends += how == "failed" ? 1 : 0;
        }
    };
    deployment all(record, folder, events);
    for (int i = 1; i <= 8; ++i)
    {
        const auto n = std::to_string(i);
        const auto rack = "r1-" + std::to_string((i - 1) / 4 + 1);
        const std::string kind = i == 8 ? "b" : "a";
        all.machines.add("m-" + n, {"127.0.0.1", 0, "quoting", "zone-1", kind, rack, 32000});
    }
    if (!all.start_nodes())
    {
        record.line("the nodes did not become ready");
        return 2;
    }
    sleep_ms(3000);
    const auto job = all.new_id();
    {
        const std::lock_guard lock(plan.mutex);
        plan.job = job;
    }
    const json steps{
        {{"count", 1}, {"cpu", 1800}, {"memMb", 256}, {"estimateMs", 800}, {"requirements", "b"}}};
    if (!all.submit(job, steps, "ms=800"))
    {
        return 2;
    }
    const auto until = now_ms() + watched_ms;
    std::string state;
    std::int64_t next_look = 0;
    while (now_ms() < until && state != "completed" && state != "failed")
    {
        std::vector<std::string> due;
        {
            const std::lock_guard lock(plan.mutex);
            due.swap(plan.to_crash);
        }
        for (const auto& it : due)
        {
            sleep_ms(crash_after_ms);
            all.machines.crash_runner(it, down_ms);
        }
        if (now_ms() >= next_look)
        {
            next_look = now_ms() + 1000;
            state = all.state_of(job);
        }
        sleep_ms(5);
    }
    const std::lock_guard lock(plan.mutex);
    record.line("starts " + std::to_string(plan.starts) + ", ends listed by runners " +
                std::to_string(plan.ends) + ", of these failed " +
                std::to_string(plan.failed_ends) + ", last state shown: " + state);
    if (state == "failed" && plan.failed_ends == 0)
    {
        record.line("RULE BROKEN: LOST: shown as failed without cause: no run ended failed");
        return 1;
    }
    return state == "completed" ? 0 : 2;
}

} // namespace

int main(int count, char** words)
{
    if (count < 3)
    {
        std::cerr << "usage: crash_loop FOLDER RECORD\n";
        return 2;
    }
    const char* const trouble = std::getenv("TROUBLE");
    recorder record(words[2]);
    try
    {
        return play(record, words[1], trouble == nullptr || std::string(trouble) != "0");
    }
    catch (const std::exception& e)
    {
        record.line(std::string("the case could not run: ") + e.what());
        return 2;
    }
}
