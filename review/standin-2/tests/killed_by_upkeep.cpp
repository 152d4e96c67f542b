// The order for a machine's upkeep is lost while the cloud is silent; meanwhile the machine's
// runner crashes, comes back and gets five tasks that last, of which one may be missed. Does the
// repeat of the order end all five?
#include "deployment.hpp"

#include <iostream>

namespace
{

using namespace standin;

constexpr std::size_t may_miss = 1;
constexpr std::int64_t silent_ms = 5000;
constexpr std::int64_t crash_after_ms = 300;
constexpr std::int64_t down_ms = 1000;
constexpr std::int64_t watched_ms = 25000;

int play(recorder& record, const std::string& folder, bool trouble)
{
    runner_events events;
    events.on_start = [&](const std::string& id, const std::string& task, std::int64_t run)
    {
        record.line("task " + task + " run " + std::to_string(run) + " begins on " + id);
    };
    events.on_end = [&](const std::string& id,
                        const std::string& task,
                        std::int64_t run,
                        const std::string& how)
    {
        record.line("task " + task + " run " + std::to_string(run) + " on " + id + ": " + how);
    };
    deployment all(record, folder, events);
    for (int i = 1; i <= 8; ++i)
    {
        const auto n = std::to_string(i);
        const auto rack = "r1-" + std::to_string((i - 1) / 4 + 1);
        const std::string kind = i == 8 ? "b" : "a";
        all.machines.add("m-" + n, {"127.0.0.1", 0, "quoting", "zone-1", kind, rack, 32000});
    }
    std::atomic<bool> broken{false};
    all.machines.on_upkeep(
        [&](const std::string& machine, const std::vector<std::string>& at_work)
        {
            record.line("upkeep of " + machine + " ends " + std::to_string(at_work.size()) +
                        " tasks that are at work; may be missed: " + std::to_string(may_miss));
            broken = broken || at_work.size() > may_miss;
        });
    if (!all.start_nodes())
    {
        record.line("the nodes did not become ready");
        return 2;
    }
    sleep_ms(4000);
    all.machines.set_silent(trouble);
    all.platform_store.put("op/wave/1",
        json{{"wave", 1}, {"machines", {"m-8"}}, {"durationS", 20}, {"cap", 1}}.dump());
    record.line("the operator asks for wave 1: m-8");
    const auto asked = now_ms();
    sleep_ms(crash_after_ms);
    if (trouble)
    {
        all.machines.crash_runner(all.machines.runner_of("m-8"), down_ms);
    }
    const json steps{{{"count", 5},
        {"cpu", 1800},
        {"memMb", 256},
        {"estimateMs", 700},
        {"longRunning", true},
        {"mayMiss", may_miss},
        {"requirements", "b"}}};
    if (!all.submit(all.new_id(), steps, "lasts=700"))
    {
        return 2;
    }
    sleep_ms(asked + silent_ms - now_ms());
    all.machines.set_silent(false);
    record.line("the cloud answers");
    const auto until = now_ms() + watched_ms;
    while (now_ms() < until && all.machines.upkeeps_done() == 0)
    {
        sleep_ms(20);
    }
    sleep_ms(500);
    if (broken)
    {
        record.line("RULE BROKEN: AVAIL: one upkeep ended more tasks of a step than may be missed");
    }
    return broken ? 1 : 0;
}

} // namespace

int main(int count, char** words)
{
    if (count < 3)
    {
        std::cerr << "usage: killed_by_upkeep FOLDER RECORD\n";
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
