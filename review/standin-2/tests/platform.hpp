// Stand-ins for the platform of a small deployment: its store, its machines with their runners, and
// the cloud. They do what the users' PROTOCOL.md says, and no more.
#pragma once

#include "http.hpp"

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <vector>

namespace standin
{

using nlohmann::json;
using std::chrono::milliseconds;

inline std::int64_t now_ms()
{
    static const auto start = std::chrono::steady_clock::now();
    const auto passed = std::chrono::steady_clock::now() - start;
    return std::chrono::duration_cast<milliseconds>(passed).count();
}

inline void sleep_ms(std::int64_t n)
{
    std::this_thread::sleep_for(milliseconds{n});
}

// The record of a play: one line for each thing that was sent, answered or run.
class recorder
{
public:
    explicit recorder(const std::string& file) : out_(file)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof(at), "%8.3f  ", static_cast<double>(now_ms()) / 1000.0);
        out_ << at << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline std::string to_base64(const std::string& text)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        unsigned n = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            n = n << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += i + k <= text.size() ? digits[n >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

struct item
{
    std::string value; // base64
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
};

class store
{
public:
    store(const std::string& ip, int port)
        : server_(ip, port, [this](const request& r) { return handle(r); }),
          ticker_([this] { expire_leases(); })
    {
    }

    ~store()
    {
        open_ = false;
        server_.close();
        ticker_.join();
    }

    std::string address() const
    {
        return server_.address();
    }

    // A write of the operator or of a runner.
    void put(const std::string& key, const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        write(key, to_base64(text), 0);
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        erase(key);
    }

private:
    struct event
    {
        std::int64_t revision;
        std::string key;
        json body;
    };

    struct lease
    {
        std::int64_t ttl;
        std::int64_t ends_at;
    };

    static json to_json(const std::string& key, const item& it)
    {
        return {{"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
    }

    void write(const std::string& key, const std::string& value, std::int64_t lease_id)
    {
        auto& it = items_[key];
        it.created = it.created == 0 ? revision_ : it.created;
        it.revision = revision_;
        it.value = value;
        it.lease = lease_id;
        log_.push_back({revision_, key, to_json(key, it)});
        changed_.notify_all();
    }

    void erase(const std::string& key)
    {
        if (items_.erase(key) > 0)
        {
            log_.push_back(
                {revision_, key, {{"key", key}, {"revision", revision_}, {"removed", true}}});
            changed_.notify_all();
        }
    }

    void end_lease(std::int64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, it] : items_)
        {
            if (it.lease == id)
            {
                keys.push_back(key);
            }
        }
        ++revision_;
        for (const auto& it : keys)
        {
            erase(it);
        }
    }

    void expire_leases()
    {
        while (open_)
        {
            sleep_ms(10);
            const std::lock_guard lock(mutex_);
            const auto all = leases_;
            for (const auto& [id, it] : all)
            {
                if (it.ends_at <= now_ms())
                {
                    end_lease(id);
                }
            }
        }
    }

    response handle(const request& r)
    {
        if (r.path == "/api/kv-watch")
        {
            return watch(r);
        }
        const std::lock_guard lock(mutex_);
        const auto has_prefix = [&r](const char* text)
        {
            return r.path.rfind(text, 0) == 0;
        };
        if (r.path == "/api/kv-key")
        {
            const auto& key = r.query.at("key");
            const auto it = items_.find(key);
            auto body = it == items_.end() ? json::object() : to_json(key, it->second);
            body["storeRevision"] = revision_;
            return {it == items_.end() ? 404 : 200, body.dump()};
        }
        if (r.path == "/api/kv-range")
        {
            return range(r);
        }
        if (r.path == "/api/kv-txn")
        {
            return transact(json::parse(r.body));
        }
        if (r.path == "/api/kv-lease")
        {
            const auto ttl = json::parse(r.body).at("ttlMs").get<std::int64_t>();
            leases_[++last_lease_] = {ttl, now_ms() + ttl};
            return {200, json{{"lease", last_lease_}, {"ttlMs", ttl}}.dump()};
        }
        if (has_prefix("/api/kv-keep/"))
        {
            const auto found = leases_.find(std::stoll(r.path.substr(13)));
            if (found == leases_.end())
            {
                return {404, "{}"};
            }
            found->second.ends_at = now_ms() + found->second.ttl;
            return {200, json{{"lease", found->first}, {"ttlMs", found->second.ttl}}.dump()};
        }
        if (has_prefix("/api/kv-lease-end/"))
        {
            end_lease(std::stoll(r.path.substr(18)));
            return {200, "{}"};
        }
        return {404, "{}"};
    }

    response range(const request& r)
    {
        constexpr std::size_t page = 500;
        const auto& prefix = r.query.at("prefix");
        const auto after = r.query.count("after") != 0 ? r.query.at("after") : std::string{};
        json all = json::array();
        auto it = items_.lower_bound(prefix);
        bool more = false;
        for (; it != items_.end() && it->first.rfind(prefix, 0) == 0; ++it)
        {
            if (!after.empty() && it->first <= after)
            {
                continue;
            }
            more = all.size() == page;
            if (more)
            {
                break;
            }
            all.push_back(to_json(it->first, it->second));
        }
        return {
            200, json{{"items", all}, {"morePages", more}, {"storeRevision", revision_}}.dump()};
    }

    response transact(const json& t)
    {
        bool holds = true;
        json current = json::array();
        for (const auto& row : t.at("expectedRev"))
        {
            const auto key = row.at("key").get<std::string>();
            const auto it = items_.find(key);
            const auto revision = it == items_.end() ? 0 : it->second.revision;
            holds = holds && revision == row.at("revision").get<std::int64_t>();
            if (it != items_.end())
            {
                current.push_back(to_json(key, it->second));
            }
        }
        if (!holds)
        {
            return {412, json{{"items", current}}.dump()};
        }
        for (const auto& row : t.at("put"))
        {
            const auto id = row.value("lease", std::int64_t{0});
            if (id != 0 && leases_.count(id) == 0)
            {
                return {404, "{}"};
            }
        }
        ++revision_;
        for (const auto& row : t.at("put"))
        {
            write(row.at("key").get<std::string>(),
                row.at("value").get<std::string>(),
                row.value("lease", std::int64_t{0}));
        }
        for (const auto& row : t.at("remove"))
        {
            erase(row.get<std::string>());
        }
        return {200, json{{"revision", revision_}}.dump()};
    }

    response watch(const request& r)
    {
        const auto& prefix = r.query.at("prefix");
        const auto after = std::stoll(r.query.at("after"));
        const auto until = now_ms() + std::stoll(r.query.at("waitMs"));
        std::unique_lock lock(mutex_);
        while (open_)
        {
            json all = json::array();
            const auto from = std::upper_bound(log_.begin(),
                log_.end(),
                after,
                [](std::int64_t n, const event& it) { return n < it.revision; });
            for (auto it = from; it != log_.end(); ++it)
            {
                if (it->key.rfind(prefix, 0) == 0)
                {
                    all.push_back(it->body);
                }
            }
            const auto left = until - now_ms();
            if (!all.empty() || left <= 0)
            {
                return {200, json{{"events", all}, {"storeRevision", revision_}}.dump()};
            }
            changed_.wait_for(lock, milliseconds{std::min<std::int64_t>(left, 200)});
        }
        return {503, "{}"};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> open_{true};
    std::int64_t revision_ = 1000;
    std::int64_t last_lease_ = 0;
    std::map<std::string, item> items_;
    std::vector<event> log_;
    std::map<std::int64_t, lease> leases_;
    server server_;
    std::thread ticker_;
};

// What a runner tells the play. Called without locks of the runner.
struct runner_events
{
    std::function<void(const std::string& runner, const std::string& task, std::int64_t run)>
        on_start = [](auto&&...) {
        };
    std::function<void(const std::string& runner,
        const std::string& task,
        std::int64_t run,
        const std::string& how)>
        on_end = [](auto&&...) {
        };
};

struct runner_place
{
    std::string ip;
    int port = 0;
    std::string service;
    std::string zone;
    std::string kind;
    std::string rack;
    std::int64_t cpu = 32000;
};

// One life of a machine. A spec of the form "ms=N" says how long its tasks take.
class runner
{
public:
    static constexpr std::int64_t max_hold_ms = 10000;
    static constexpr std::int64_t stop_ms = 100;
    static constexpr std::int64_t heartbeat_ms = 1500;

    runner(std::string id, runner_place at, store& to, runner_events events)
        : id_(std::move(id)), at_(std::move(at)), store_(to), events_(std::move(events)),
          clock_offset_(std::random_device{}() % 1000000),
          server_(at_.ip, at_.port, [this](const request& r) { return handle(r); }),
          ticker_([this] { work(); })
    {
        at_.port = server_.port();
    }

    ~runner()
    {
        crash();
    }

    // Ends the process of the runner and all that runs on it. Its entry stays in the store.
    void crash()
    {
        {
            const std::lock_guard lock(mutex_);
            if (!open_.exchange(false))
            {
                return;
            }
        }
        changed_.notify_all();
        server_.close();
        ticker_.join();
    }

    const std::string& id() const
    {
        return id_;
    }
    int port() const
    {
        return at_.port;
    }

    std::size_t running()
    {
        const std::lock_guard lock(mutex_);
        return running_.size();
    }

    // \return the tasks that last and are at work.
    std::vector<std::string> at_work()
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> out;
        for (const auto& [task, it] : running_)
        {
            if (it.duration == 0 && it.percent() == 100)
            {
                out.push_back(task);
            }
        }
        return out;
    }

private:
    struct active_run
    {
        std::int64_t run;
        std::int64_t started;
        std::int64_t duration; // 0: the task lasts
        std::int64_t startup;  // of a task that lasts
        std::int64_t stopped_at = 0;

        std::int64_t percent() const
        {
            const auto whole = std::max<std::int64_t>(duration + startup, 1);
            const auto done = (now_ms() - started) * 100 / whole;
            return std::min<std::int64_t>(done, duration == 0 ? 100 : 99);
        }
    };

    static std::int64_t number_in(const std::string& spec, const std::string& name)
    {
        return spec.rfind(name, 0) == 0 ? std::strtoll(spec.c_str() + name.size(), nullptr, 10) : 0;
    }

    std::int64_t clock() const
    {
        return clock_offset_ + now_ms();
    }

    response answer(int status, const char* reason = nullptr) const
    {
        json body{{"clockMs", clock()}};
        if (reason != nullptr)
        {
            body["reason"] = reason;
        }
        return {status, body.dump()};
    }

    response handle(const request& r)
    {
        if (r.method == "GET")
        {
            return {200, "{}"};
        }
        const auto expected = r.fields.find("x-expected-instance");
        if (expected != r.fields.end() && expected->second != id_)
        {
            return answer(421);
        }
        const auto body = json::parse(r.body);
        std::unique_lock lock(mutex_);
        const auto fence = body.value("fence", std::int64_t{0});
        if (fence < fence_)
        {
            return answer(409, "fence");
        }
        fence_ = fence;
        const auto until = std::min(body.value("untilMs", std::int64_t{0}), clock() + max_hold_ms);
        lease_until_ = std::max(lease_until_, until);
        if (r.path == "/api/run-start")
        {
            return start(body, lock);
        }
        if (r.path == "/api/run-stop")
        {
            return stop(body);
        }
        return r.path == "/api/hold" ? hold(body, lock) : answer(200);
    }

    response start(const json& body, std::unique_lock<std::mutex>& lock)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::int64_t>();
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.run == run)
        {
            return answer(200);
        }
        if (run <= last_runs_[task])
        {
            return answer(409, "old");
        }
        if (lease_until_ <= clock())
        {
            return answer(409, "late");
        }
        const auto spec = body.at("spec").get<std::string>();
        running_[task] = {run, now_ms(), number_in(spec, "ms="), number_in(spec, "lasts=")};
        lock.unlock();
        events_.on_start(id_, task, run);
        return answer(200);
    }

    response stop(const json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::int64_t>();
        last_runs_[task] = std::max(last_runs_[task], run);
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.run == run && found->second.stopped_at == 0)
        {
            found->second.stopped_at = now_ms();
        }
        return answer(200);
    }

    response hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        const auto acked = body.value("ackedUpto", std::int64_t{0});
        while (!ended_.empty() && ended_.front().at(0).get<std::int64_t>() <= acked)
        {
            ended_.pop_front();
        }
        const auto until = now_ms() + std::min<std::int64_t>(body.value("waitMs", 0), 2000);
        while (open_ && ended_.empty() && now_ms() < until)
        {
            changed_.wait_for(lock, milliseconds{until - now_ms()});
        }
        json running = json::array();
        for (const auto& [task, it] : running_)
        {
            running.push_back({task, it.run, "", it.percent(), 500});
        }
        json ended = json::array();
        for (const auto& it : ended_)
        {
            ended.push_back(it);
        }
        return {200, json{{"clockMs", clock()}, {"running", running}, {"ended", ended}}.dump()};
    }

    // \return how the run ends now; empty: it goes on.
    std::string end_of(const active_run& it) const
    {
        if (lease_until_ <= clock())
        {
            return "lapsed";
        }
        if (it.stopped_at != 0 && now_ms() >= it.stopped_at + stop_ms)
        {
            return "stopped";
        }
        return it.duration > 0 && now_ms() >= it.started + it.duration ? "done" : "";
    }

    void end_runs()
    {
        std::vector<std::tuple<std::string, std::int64_t, std::string>> over;
        {
            const std::lock_guard lock(mutex_);
            for (auto it = running_.begin(); it != running_.end();)
            {
                const auto how = end_of(it->second);
                if (how.empty())
                {
                    ++it;
                    continue;
                }
                over.emplace_back(it->first, it->second.run, how);
                last_runs_[it->first] = std::max(last_runs_[it->first], it->second.run);
                ended_.push_back({++last_end_, it->first, it->second.run, how, ""});
                it = running_.erase(it);
            }
        }
        if (!over.empty())
        {
            changed_.notify_all();
        }
        for (const auto& [task, run, how] : over)
        {
            events_.on_end(id_, task, run, how);
        }
    }

    void beat()
    {
        const json entry{{"service", at_.service},
            {"address", server_.address()},
            {"zone", at_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"capacity", {{"cpu", at_.cpu}, {"memMb", 131072}, {"gpu", 0}}},
            {"labels", {at_.kind, at_.rack}},
            {"clockMs", clock()},
            {"seq", ++beats_}};
        store_.put("servers/" + id_, entry.dump());
    }

    void work()
    {
        std::int64_t next_beat = 0;
        while (open_)
        {
            if (now_ms() >= next_beat)
            {
                next_beat = now_ms() + heartbeat_ms;
                beat();
            }
            end_runs();
            sleep_ms(5);
        }
    }

    std::string id_;
    runner_place at_;
    store& store_;
    runner_events events_;
    std::int64_t clock_offset_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> open_{true};
    std::int64_t fence_ = 0;
    std::int64_t lease_until_ = 0;
    std::int64_t last_end_ = 0;
    std::int64_t beats_ = 0;
    std::map<std::string, active_run> running_;
    std::map<std::string, std::int64_t> last_runs_;
    std::deque<json> ended_;
    server server_;
    std::thread ticker_;
};

// The machines and the cloud that speaks for them.
class cloud
{
public:
    static constexpr std::int64_t upkeep_ms = 2000;

    // \return whether a call gets no answer and is carried out that much later.
    using delay_rule =
        std::function<std::int64_t(const std::string& kind, const std::string& machine)>;

    cloud(const std::string& ip, store& to, recorder& record, runner_events events)
        : store_(to), record_(record), events_(std::move(events)),
          server_(ip, 0, [this](const request& r) { return handle(r); })
    {
    }

    ~cloud()
    {
        open_ = false;
        server_.close();
        for (auto& it : threads_)
        {
            it.join();
        }
        const std::lock_guard lock(mutex_);
        machines_.clear();
    }

    std::string address() const
    {
        return server_.address();
    }

    void set_delays(delay_rule rule)
    {
        const std::lock_guard lock(mutex_);
        delay_of_ = std::move(rule);
    }

    // Called when an upkeep begins, with the tasks that last and are at work there.
    void on_upkeep(std::function<void(const std::string&, const std::vector<std::string>&)> fn)
    {
        const std::lock_guard lock(mutex_);
        on_upkeep_ = std::move(fn);
    }

    // Neither lists nor orders are answered or carried out.
    void set_silent(bool silent)
    {
        silent_ = silent;
    }

    void set_wave_cap(std::size_t cap)
    {
        cap_ = cap;
    }
    int cap_broken() const
    {
        return cap_broken_;
    }
    std::string last_holder()
    {
        const std::lock_guard lock(mutex_);
        return last_holder_;
    }

    void add(const std::string& name, const runner_place& at)
    {
        const std::lock_guard lock(mutex_);
        auto& m = machines_[name];
        m.place = at;
        boot(m);
    }

    std::size_t upkeeps_done()
    {
        const std::lock_guard lock(mutex_);
        return done_.size();
    }

    std::string runner_of(const std::string& name)
    {
        const std::lock_guard lock(mutex_);
        return machines_.at(name).last_id;
    }

    // Crashes the runner with this id; the machine has another one after \p down_ms.
    void crash_runner(const std::string& id, std::int64_t down_ms)
    {
        std::shared_ptr<runner> ended;
        std::string name;
        {
            const std::lock_guard lock(mutex_);
            for (auto& [key, m] : machines_)
            {
                if (m.life && m.life->id() == id)
                {
                    ended = std::move(m.life);
                    m.state = "down";
                    name = key;
                }
            }
        }
        if (!ended)
        {
            return;
        }
        record_.line("runner " + id + " of machine " + name + " crashes");
        ended->crash();
        forget_entry(id);
        return_later(name, down_ms);
    }

private:
    struct machine
    {
        runner_place place;
        std::string state = "up";
        std::shared_ptr<runner> life;
        std::string last_id;
        std::int64_t fence = 0;
    };

    void boot(machine& m)
    {
        char id[32];
        std::snprintf(id, sizeof(id), "i-%08x", 0x1000 + ++lives_ * 7919);
        m.life = std::make_shared<runner>(id, m.place, store_, events_);
        m.place.port = m.life->port();
        m.last_id = id;
        m.state = "up";
    }

    void in_background(std::function<void()> fn)
    {
        const std::lock_guard lock(threads_mutex_);
        threads_.emplace_back(std::move(fn));
    }

    void wait_ms(std::int64_t n) const
    {
        const auto until = now_ms() + n;
        while (open_ && now_ms() < until)
        {
            sleep_ms(10);
        }
    }

    // A runner that sends nothing is removed from the list after three heartbeats.
    void forget_entry(const std::string& id)
    {
        in_background(
            [this, id]
            {
                wait_ms(3 * runner::heartbeat_ms);
                store_.remove("servers/" + id);
            });
    }

    void return_later(const std::string& name, std::int64_t ms)
    {
        in_background(
            [this, name, ms]
            {
                wait_ms(ms);
                if (open_)
                {
                    const std::lock_guard lock(mutex_);
                    boot(machines_.at(name));
                    record_.line("machine " + name + " has runner " + machines_.at(name).last_id);
                }
            });
    }

    response handle(const request& r)
    {
        if (silent_)
        {
            record_.line("the cloud is silent: " + r.path + " " + r.body);
            return {};
        }
        if (r.method == "GET")
        {
            const std::lock_guard lock(mutex_);
            json all = json::array();
            for (const auto& [name, m] : machines_)
            {
                all.push_back({{"machine", name},
                    {"pool", m.place.service},
                    {"state", m.state},
                    {"zone", m.place.zone},
                    {"labels", {m.place.kind, m.place.rack}},
                    {"capacity", {{"cpu", m.place.cpu}, {"memMb", 131072}, {"gpu", 0}}},
                    {"id", m.last_id}});
            }
            return {200, json{{"machines", all}, {"nextToken", ""}}.dump()};
        }
        const auto body = json::parse(r.body);
        const auto name = body.at("machine").get<std::string>();
        const auto holder = r.fields.at("x-lease-holder");
        const auto fence = std::stoll(r.fields.at("x-fencing-token"));
        const bool upkeep = r.path == "/api/machine-upkeep";
        const std::string call = (upkeep ? "upkeep " : "move ") + name + " by " + holder +
                                 " token " + std::to_string(fence);
        std::int64_t delay = 0;
        {
            const std::lock_guard lock(mutex_);
            delay = delay_of_ ? delay_of_(upkeep ? "upkeep" : "move", name) : 0;
            last_holder_ = holder;
        }
        if (delay > 0)
        {
            record_.line(call + ": no answer, carried out in " + std::to_string(delay) + " ms");
            in_background(
                [this, name, fence, call, delay, upkeep]
                {
                    wait_ms(delay);
                    if (open_)
                    {
                        const auto late = carry_out(name, fence, upkeep);
                        record_.line(call + ": carried out late: " + std::to_string(late.status) +
                                     " " + late.body);
                    }
                });
            return {};
        }
        const auto out = carry_out(name, fence, upkeep);
        record_.line(call + ": " + std::to_string(out.status) + " " + out.body);
        return out;
    }

    response carry_out(const std::string& name, std::int64_t fence, bool upkeep)
    {
        std::shared_ptr<runner> ended;
        {
            const std::lock_guard lock(mutex_);
            const auto found = machines_.find(name);
            if (found == machines_.end() || !upkeep)
            {
                return {400, "{}"};
            }
            auto& m = found->second;
            if (fence < m.fence)
            {
                return {409, R"({"reason":"fence"})"};
            }
            m.fence = fence;
            if (done_.count(name) != 0)
            {
                return {200, "{}"};
            }
            if (m.state != "up")
            {
                return {409, R"({"reason":"busy"})"};
            }
            begin_upkeep(name, m);
            ended = std::move(m.life);
        }
        ended->crash();
        forget_entry(ended->id());
        return_later(name, upkeep_ms);
        return {200, "{}"};
    }

    void begin_upkeep(const std::string& name, machine& m)
    {
        const auto down = std::count_if(machines_.begin(),
            machines_.end(),
            [](const auto& it) { return it.second.state == "upkeep"; });
        if (static_cast<std::size_t>(down) >= cap_)
        {
            ++cap_broken_;
            record_.line("RULE BROKEN: upkeep of " + name + " begins while " +
                         std::to_string(down) + " machines are down for theirs, cap " +
                         std::to_string(cap_));
        }
        m.state = "upkeep";
        done_.insert(name);
        if (on_upkeep_)
        {
            on_upkeep_(name, m.life->at_work());
        }
        record_.line("machine " + name + " goes down for its upkeep, with " +
                     std::to_string(m.life->running()) + " tasks");
    }

    store& store_;
    recorder& record_;
    runner_events events_;
    std::mutex mutex_;
    std::map<std::string, machine> machines_;
    std::set<std::string> done_;
    delay_rule delay_of_;
    std::function<void(const std::string&, const std::vector<std::string>&)> on_upkeep_;
    std::atomic<bool> silent_{false};
    std::string last_holder_;
    std::size_t cap_ = 1;
    std::atomic<int> cap_broken_{0};
    unsigned lives_ = 0;
    std::atomic<bool> open_{true};
    std::mutex threads_mutex_;
    std::vector<std::thread> threads_;
    server server_;
};

} // namespace standin
