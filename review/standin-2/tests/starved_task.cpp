// A machine with a label of its own crashes under five tasks that last, comes back, crashes again
// and is lost for good. Then a runner crashes under a task of another job, and the one that gets
// the task next does too. Is that task ever started again, on the other runners, which are idle?
#include "deployment.hpp"

#include <iostream>

namespace
{

using namespace standin;

constexpr std::int64_t crash_after_ms = 500;
constexpr std::int64_t down_ms = 2000;
constexpr std::int64_t watched_ms = 40000;
constexpr std::int64_t for_good = 1000000;

struct crash
{
    std::int64_t at;
    std::string runner;
    std::int64_t down_ms;
};

class play
{
public:
    play(recorder& record, const std::string& folder, bool trouble)
        : record_(record), trouble_(trouble), all_(record, folder, make_events())
    {
    }

    int run()
    {
        for (int i = 1; i <= 8; ++i)
        {
            const auto n = std::to_string(i);
            const auto rack = "r1-" + std::to_string((i - 1) / 4 + 1);
            const std::string kind = i == 8 ? "b" : "a";
            all_.machines.add("m-" + n, {"127.0.0.1", 0, "quoting", "zone-1", kind, rack, 32000});
        }
        if (!all_.start_nodes())
        {
            record_.line("the nodes did not become ready");
            return 2;
        }
        sleep_ms(3000);
        if (!submit(lasting_,
                {{"count", 5},
                    {"cpu", 1800},
                    {"memMb", 256},
                    {"estimateMs", 700},
                    {"longRunning", true},
                    {"requirements", "b"}},
                "lasts=700"))
        {
            return 2;
        }
        wait(trouble_ ? 10000 : 3000);
        record_.line("runners that crashed so far: " + std::to_string(crashes_));
        if (!submit(batch_,
                {{"count", 1}, {"cpu", 1800}, {"memMb", 256}, {"estimateMs", 1300}},
                "ms=2000"))
        {
            return 2;
        }
        return judge();
    }

private:
    runner_events make_events()
    {
        runner_events out;
        out.on_start = [this](const std::string& id, const std::string& task, std::int64_t run)
        {
            on_start(id, task, run);
        };
        out.on_end = [this](const std::string& id,
                         const std::string& task,
                         std::int64_t run,
                         const std::string& how)
        {
            record_.line("task " + task + " run " + std::to_string(run) + " on " + id + ": " + how);
        };
        return out;
    }

    void on_start(const std::string& id, const std::string& task, std::int64_t run)
    {
        record_.line("task " + task + " run " + std::to_string(run) + " begins on " + id);
        const std::lock_guard lock(mutex_);
        const auto at = now_ms() + crash_after_ms;
        if (!trouble_)
        {
            return;
        }
        if (!batch_.empty() && task.rfind(batch_, 0) == 0)
        {
            last_start_ = now_ms();
            if (++batch_starts_ <= 2)
            {
                due_.push_back({at, id, down_ms});
            }
        }
        else if (lasting_runners_.insert(id).second && lasting_runners_.size() <= 2)
        {
            due_.push_back({at, id, lasting_runners_.size() == 1 ? down_ms : for_good});
        }
    }

    bool submit(std::string& job, const json& step, const std::string& spec)
    {
        const auto id = all_.new_id();
        {
            const std::lock_guard lock(mutex_);
            job = id;
        }
        return all_.submit(id, json::array({step}), spec);
    }

    void wait(std::int64_t ms)
    {
        const auto until = now_ms() + ms;
        while (now_ms() < until)
        {
            crash_due();
            sleep_ms(5);
        }
    }

    void crash_due()
    {
        std::vector<crash> now;
        {
            const std::lock_guard lock(mutex_);
            const auto later = std::partition(
                due_.begin(), due_.end(), [](const crash& it) { return it.at > now_ms(); });
            now.assign(later, due_.end());
            due_.erase(later, due_.end());
        }
        for (const auto& it : now)
        {
            ++crashes_;
            last_crash_ = now_ms();
            all_.machines.crash_runner(it.runner, it.down_ms);
        }
    }

    // The rule: 3 s with nothing running, after 4 s of calm. The last crash is over after down_ms.
    int judge()
    {
        const auto until = now_ms() + watched_ms;
        std::string state;
        while (now_ms() < until && state != "completed")
        {
            wait(1000);
            state = all_.state_of(batch_);
        }
        if (state == "completed")
        {
            return 0;
        }
        const std::lock_guard lock(mutex_);
        const auto calm = now_ms() - last_crash_ - down_ms;
        const auto idle = now_ms() - last_start_;
        record_.line("last start " + std::to_string(idle) + " ms ago, calm for " +
                     std::to_string(calm) + " ms, starts " + std::to_string(batch_starts_));
        if (batch_starts_ == 2 && calm > 7000)
        {
            record_.line("RULE BROKEN: LOST: nothing of " + batch_ +
                         " runs, though seven runners are up and idle");
            return 1;
        }
        return 2;
    }

    recorder& record_;
    bool trouble_;
    std::mutex mutex_;
    std::string lasting_;
    std::string batch_;
    std::set<std::string> lasting_runners_;
    std::vector<crash> due_;
    int batch_starts_ = 0;
    int crashes_ = 0;
    std::int64_t last_start_ = 0;
    std::int64_t last_crash_ = 0;
    deployment all_;
};

} // namespace

int main(int count, char** words)
{
    if (count < 3)
    {
        std::cerr << "usage: starved_task FOLDER RECORD\n";
        return 2;
    }
    const char* const trouble = std::getenv("TROUBLE");
    recorder record(words[2]);
    try
    {
        return play(record, words[1], trouble == nullptr || std::string(trouble) != "0").run();
    }
    catch (const std::exception& e)
    {
        record.line(std::string("the case could not run: ") + e.what());
        return 2;
    }
}
