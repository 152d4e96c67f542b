/// \file
/// Stand-ins for the hosting platform: its metadata store, its machines with their runners, and the
/// service that takes orders about machines.
#pragma once

#include "http.hpp"

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace review
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

inline std::int64_t ms_since(steady::time_point then)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - then).count();
}

inline void sleep_ms(std::int64_t n)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(n));
}

/// Writes what was sent, answered and run, with the milliseconds since the start.
class recorder
{
public:
    explicit recorder(const std::string& file) : out_(file)
    {
    }

    std::int64_t now() const
    {
        return ms_since(started_);
    }

    void write(const std::string& text)
    {
        const std::lock_guard hold(mutex_);
        out_ << now() << " ms  " << text << std::endl;
    }

private:
    steady::time_point started_ = steady::now();
    std::mutex mutex_;
    std::ofstream out_;
};

inline std::string to_base64(const std::string& in)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        const auto at = [&](std::size_t k)
        {
            return k < in.size() ? static_cast<unsigned char>(in[k]) : 0U;
        };
        const unsigned n = at(i) << 16 | at(i + 1) << 8 | at(i + 2);
        out += digits[n >> 18];
        out += digits[n >> 12 & 63];
        out += i + 1 < in.size() ? digits[n >> 6 & 63] : '=';
        out += i + 2 < in.size() ? digits[n & 63] : '=';
    }
    return out;
}

struct stored_item
{
    std::string value; ///< base64
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
};

/// What happens to a write that the trouble picks.
struct lost_write
{
    std::string key;        ///< a put of this key is picked, once
    int carried_out_ms = 0; ///< how much later it is carried out, if its condition still holds
};

class store
{
public:
    explicit store(recorder& to)
        : record_(to), server_([this](const request& r) { return answer(r); })
    {
        std::thread(
            [this]
            {
                while (true)
                {
                    sleep_ms(10);
                    const std::lock_guard hold(mutex_);
                    expire_leases();
                }
            })
            .detach();
    }

    std::string address() const
    {
        return server_.address();
    }

    /// Writes a key as the operator or a runner does.
    void put(const std::string& key, const json& value)
    {
        const std::lock_guard hold(mutex_);
        apply_put(key, to_base64(value.dump()), 0, ++revision_);
    }

    void remove(const std::string& key)
    {
        const std::lock_guard hold(mutex_);
        if (items_.contains(key))
        {
            apply_remove(key, ++revision_);
        }
    }

    /// \return the revision of the key, 0: it does not exist
    std::int64_t revision_of(const std::string& key)
    {
        const std::lock_guard hold(mutex_);
        const auto it = items_.find(key);
        return it == items_.end() ? 0 : it->second.revision;
    }

    std::string value_of(const std::string& key)
    {
        const std::lock_guard hold(mutex_);
        const auto it = items_.find(key);
        return it == items_.end() ? std::string{} : it->second.value;
    }

    void lose(lost_write it)
    {
        const std::lock_guard hold(mutex_);
        lost_ = std::move(it);
        writes_while_losing_ = 0;
    }

    /// \return the writes since lose(), the lost one included
    int writes_while_losing()
    {
        const std::lock_guard hold(mutex_);
        return writes_while_losing_;
    }

private:
    std::optional<response> answer(const request& r)
    {
        sleep_ms(4);
        std::unique_lock hold(mutex_);
        const json body = json::parse(r.body, nullptr, false);
        if (r.path == "/api/kv-key")
        {
            return read_key(r.query.at("key"));
        }
        if (r.path == "/api/kv-range")
        {
            return read_range(r);
        }
        if (r.path == "/api/kv-watch")
        {
            return watch(r, hold);
        }
        if (r.path == "/api/kv-txn")
        {
            return write(body);
        }
        if (r.path == "/api/kv-lease")
        {
            const auto id = ++last_lease_;
            leases_[id] = {body.at("ttlMs"), steady::now()};
            return response{200, json{{"lease", id}, {"ttlMs", body.at("ttlMs")}}.dump()};
        }
        const auto id = std::strtoll(r.path.substr(r.path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = leases_.find(id);
        if (lease == leases_.end())
        {
            return response{404, "{}"};
        }
        if (r.path.starts_with("/api/kv-keep/"))
        {
            lease->second.renewed = steady::now();
            return response{200, json{{"ttlMs", lease->second.ttl_ms}}.dump()};
        }
        end_lease(id);
        return response{200, "{}"};
    }

    json item_json(const std::string& key) const
    {
        const auto& it = items_.at(key);
        return {{"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
    }

    response read_key(const std::string& key) const
    {
        if (!items_.contains(key))
        {
            return {404, json{{"storeRevision", revision_}}.dump()};
        }
        auto out = item_json(key);
        out["storeRevision"] = revision_;
        return {200, out.dump()};
    }

    response read_range(const request& r) const
    {
        const auto& prefix = r.query.at("prefix");
        const auto after = r.query.find("after");
        json items = json::array();
        bool more = false;
        for (const auto& [key, it] : items_)
        {
            if (!key.starts_with(prefix) || (after != r.query.end() && key <= after->second))
            {
                continue;
            }
            if (items.size() == 500)
            {
                more = true;
                break;
            }
            items.push_back(item_json(key));
        }
        return {
            200, json{{"items", items}, {"morePages", more}, {"storeRevision", revision_}}.dump()};
    }

    response watch(const request& r, std::unique_lock<std::mutex>& hold)
    {
        const auto& prefix = r.query.at("prefix");
        const auto after = std::stoll(r.query.at("after"));
        const auto until =
            steady::now() + std::chrono::milliseconds(std::stoll(r.query.at("waitMs")));
        json events = json::array();
        while (true)
        {
            for (const auto& [revision, event] : log_)
            {
                if (revision > after && event.at("key").get<std::string>().starts_with(prefix))
                {
                    events.push_back(event);
                }
            }
            if (!events.empty() || changed_.wait_until(hold, until) == std::cv_status::timeout)
            {
                break;
            }
        }
        return {200, json{{"events", events}, {"storeRevision", revision_}}.dump()};
    }

    std::optional<response> write(const json& body)
    {
        ++writes_while_losing_;
        const auto picked = [this](const json& it)
        {
            return !lost_.key.empty() && it.at("key") == lost_.key;
        };
        const auto& puts = body.at("put");
        if (std::any_of(puts.begin(), puts.end(), picked))
        {
            const auto delay = lost_.carried_out_ms;
            record_.write("store: the write of " + lost_.key +
                          " gets no answer, and is carried out " + std::to_string(delay) +
                          " ms later if its condition holds");
            lost_.key.clear();
            std::thread(
                [this, body, delay]
                {
                    sleep_ms(delay);
                    const std::lock_guard late(mutex_);
                    const auto out = carry_out(body);
                    record_.write("store: the late write ends with " + std::to_string(out.status));
                })
                .detach();
            return {};
        }
        return carry_out(body);
    }

    response carry_out(const json& body)
    {
        bool holds = true;
        json current = json::array();
        for (const auto& it : body.at("expectedRev"))
        {
            const std::string key = it.at("key");
            const bool there = items_.contains(key);
            holds = holds && (there ? items_.at(key).revision : 0) == it.at("revision");
            if (there)
            {
                current.push_back(item_json(key));
            }
        }
        if (!holds)
        {
            return {412, json{{"items", current}}.dump()};
        }
        for (const auto& it : body.at("put"))
        {
            const auto lease = it.value("lease", std::int64_t{0});
            if (lease != 0 && !leases_.contains(lease))
            {
                return {404, "{}"};
            }
        }
        ++revision_;
        for (const auto& it : body.at("put"))
        {
            apply_put(it.at("key"), it.at("value"), it.value("lease", std::int64_t{0}), revision_);
        }
        for (const auto& it : body.at("remove"))
        {
            if (items_.contains(it.get<std::string>()))
            {
                apply_remove(it, revision_);
            }
        }
        return {200, json{{"revision", revision_}}.dump()};
    }

    void apply_put(
        const std::string& key, const std::string& value, std::int64_t lease, std::int64_t revision)
    {
        auto& it = items_[key];
        it.created = it.created == 0 ? revision : it.created;
        it.value = value;
        it.revision = revision;
        it.lease = lease;
        log_.emplace_back(revision, item_json(key));
        changed_.notify_all();
    }

    void apply_remove(const std::string& key, std::int64_t revision)
    {
        items_.erase(key);
        log_.emplace_back(revision, json{{"key", key}, {"revision", revision}, {"removed", true}});
        changed_.notify_all();
    }

    void expire_leases()
    {
        std::vector<std::int64_t> ended;
        for (const auto& [id, it] : leases_)
        {
            if (ms_since(it.renewed) >= it.ttl_ms)
            {
                ended.push_back(id);
            }
        }
        for (const auto id : ended)
        {
            end_lease(id);
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
        if (!keys.empty())
        {
            ++revision_;
        }
        for (const auto& key : keys)
        {
            apply_remove(key, revision_);
        }
    }

    struct lease_entry
    {
        std::int64_t ttl_ms = 0;
        steady::time_point renewed;
    };

    recorder& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stored_item> items_;
    std::vector<std::pair<std::int64_t, json>> log_;
    std::map<std::int64_t, lease_entry> leases_;
    std::int64_t revision_ = 7;
    std::int64_t last_lease_ = 0;
    lost_write lost_;
    int writes_while_losing_ = 0;
    server server_; // last: its threads use the members above
};

/// A start that a runner has begun.
struct started_run
{
    std::string task;
    std::int64_t at_ms = 0;
};

/// Bounds of the deployment that a case is like.
struct site_bounds
{
    int max_hold_ms;
    int stop_ms;
};

/// One machine with its present runner. The spec of a job is the duration of its tasks in ms.
class machine
{
public:
    machine(
        recorder& to, store& in, int max_hold_ms, int number, std::string pool, std::string rack)
        : record_(to), store_(in), max_hold_ms_(max_hold_ms),
          name_("m-0000" + std::to_string(number)), number_(number), pool_(std::move(pool)),
          rack_(std::move(rack)), server_([this](const request& r) { return answer(r); })
    {
        begin_life();
        std::thread(
            [this]
            {
                while (true)
                {
                    sleep_ms(5);
                    tick();
                }
            })
            .detach();
    }

    const std::string& name() const
    {
        return name_;
    }

    json list_row()
    {
        const std::lock_guard hold(mutex_);
        json out{{"machine", name_},
            {"pool", pool_},
            {"state", up_ ? "up" : "upkeep"},
            {"zone", "zone-a"},
            {"labels", {"a", rack_}},
            {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}}};
        out["id"] = up_ ? json(id_) : json(nullptr);
        return out;
    }

    /// Ends the runner; a new one joins after \p down_ms.
    void go_down(int down_ms)
    {
        std::string old;
        {
            const std::lock_guard hold(mutex_);
            up_ = false;
            old = id_;
            runs_.clear();
            ended_.notify_all();
        }
        store_.remove("servers/" + old);
        std::thread(
            [this, down_ms]
            {
                sleep_ms(down_ms);
                begin_life();
            })
            .detach();
    }

    std::vector<started_run> starts()
    {
        const std::lock_guard hold(mutex_);
        return starts_;
    }

    bool runs_task_of(const std::string& job)
    {
        const std::lock_guard hold(mutex_);
        return std::any_of(
            runs_.begin(), runs_.end(), [&](const run& it) { return it.task.starts_with(job); });
    }

private:
    struct run
    {
        std::string task;
        std::int64_t number = 0;
        std::int64_t ends_at = 0; ///< on the runner's clock
        std::int64_t duration = 1;
    };

    std::int64_t clock() const
    {
        return 400000 + number_ * 1000 + ms_since(born_);
    }

    void begin_life()
    {
        {
            const std::lock_guard hold(mutex_);
            ++life_;
            id_ = "i-" + std::to_string(number_) + "a" + std::to_string(life_);
            born_ = steady::now();
            fence_ = 0;
            lease_until_ = 0;
            last_end_ = 0;
            ends_.clear();
            highest_.clear();
            up_ = true;
            record_.write("runner " + id_ + " on " + name_ + " is there");
        }
        beat();
    }

    void beat()
    {
        json entry;
        std::string key;
        {
            const std::lock_guard hold(mutex_);
            key = "servers/" + id_;
            beaten_ = steady::now();
            entry = {{"service", pool_},
                {"address", server_.address()},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}},
                {"labels", {"a", rack_}},
                {"clockMs", clock()},
                {"seq", ++seq_}};
        }
        store_.put(key, entry);
    }

    void tick()
    {
        bool due = false;
        {
            const std::lock_guard hold(mutex_);
            due = up_ && ms_since(beaten_) >= 1500;
            const bool lapsed = clock() > lease_until_;
            for (std::size_t i = runs_.size(); i-- > 0;)
            {
                if (lapsed || clock() >= runs_[i].ends_at)
                {
                    end_run(i, lapsed ? "lapsed" : "done");
                }
            }
        }
        if (due)
        {
            beat();
        }
    }

    void end_run(std::size_t index, const char* how)
    {
        const auto it = runs_[index];
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
        ends_.push_back({++last_end_, it.task, it.number, how, ""});
        record_.write("runner " + id_ + " on " + name_ + ": " + it.task + " run " +
                      std::to_string(it.number) + " ends: " + how);
        ended_.notify_all();
    }

    response refusal(const char* reason) const
    {
        return {409, json{{"clockMs", clock()}, {"reason", reason}}.dump()};
    }

    std::optional<response> answer(const request& r)
    {
        std::unique_lock hold(mutex_);
        if (!up_)
        {
            return response{}; // the connection is closed
        }
        const auto instance = r.fields.find("x-expected-instance");
        if (instance != r.fields.end() && instance->second != id_)
        {
            return response{421, "{}"};
        }
        if (r.method == "GET")
        {
            return response{200, "{}"};
        }
        const auto body = json::parse(r.body, nullptr, false);
        const auto fence = body.value("fence", std::int64_t{0});
        if (fence < fence_)
        {
            return refusal("fence");
        }
        fence_ = fence;
        if (r.path == "/api/run-start")
        {
            return start(body);
        }
        if (r.path == "/api/run-stop")
        {
            return stop(body);
        }
        if (r.path == "/api/hold")
        {
            return poll(body, hold);
        }
        return response{200, json{{"clockMs", clock()}}.dump()};
    }

    void extend_lease(const json& body)
    {
        const auto until = std::min(body.value("untilMs", std::int64_t{0}), clock() + max_hold_ms_);
        lease_until_ = std::max(lease_until_, until);
    }

    response start(const json& body)
    {
        const std::string task = body.at("task");
        const std::int64_t number = body.at("run");
        extend_lease(body);
        const auto same = [&](const run& it)
        {
            return it.task == task && it.number == number;
        };
        if (std::any_of(runs_.begin(), runs_.end(), same))
        {
            return {200, json{{"clockMs", clock()}}.dump()};
        }
        if (number <= highest_[task])
        {
            return refusal("old");
        }
        if (clock() > lease_until_)
        {
            return refusal("late");
        }
        highest_[task] = number;
        const auto duration = std::stoll(body.at("spec").get<std::string>());
        runs_.push_back({task, number, clock() + duration, duration});
        starts_.push_back({task, record_.now()});
        record_.write("runner " + id_ + " on " + name_ + ": starts " + task + " run " +
                      std::to_string(number));
        return {200, json{{"clockMs", clock()}}.dump()};
    }

    response stop(const json& body)
    {
        const std::string task = body.at("task");
        const std::int64_t number = body.at("run");
        highest_[task] = std::max(highest_[task], number);
        for (std::size_t i = runs_.size(); i-- > 0;)
        {
            if (runs_[i].task == task && runs_[i].number <= number)
            {
                end_run(i, "stopped");
            }
        }
        return {200, json{{"clockMs", clock()}}.dump()};
    }

    response poll(const json& body, std::unique_lock<std::mutex>& hold)
    {
        extend_lease(body);
        const auto acked = body.value("ackedUpto", std::int64_t{0});
        std::erase_if(ends_, [&](const json& it) { return it.at(0) <= acked; });
        const auto wait = std::chrono::milliseconds(body.value("waitMs", std::int64_t{0}));
        if (ends_.empty() && wait.count() > 0)
        {
            ended_.wait_for(hold, wait, [this] { return !ends_.empty() || !up_; });
        }
        if (!up_)
        {
            return {};
        }
        json running = json::array();
        for (const auto& it : runs_)
        {
            const auto done =
                100 - 100 * (it.ends_at - clock()) / std::max<std::int64_t>(it.duration, 1);
            running.push_back(
                {it.task, it.number, "", std::clamp<std::int64_t>(done, 0, 100), 500});
        }
        json ends = json::array();
        for (const auto& it : ends_)
        {
            ends.push_back(it);
        }
        return {200, json{{"clockMs", clock()}, {"running", running}, {"ended", ends}}.dump()};
    }

    recorder& record_;
    store& store_;
    int max_hold_ms_;
    std::string name_;
    int number_;
    std::string pool_;
    std::string rack_;
    std::mutex mutex_;
    std::condition_variable ended_;
    bool up_ = false;
    int life_ = 0;
    std::string id_;
    steady::time_point born_;
    steady::time_point beaten_;
    std::int64_t seq_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t lease_until_ = 0;
    std::int64_t last_end_ = 0;
    std::vector<run> runs_;
    std::vector<json> ends_;
    std::map<std::string, std::int64_t> highest_;
    std::vector<started_run> starts_;
    server server_; // last: its threads use the members above
};

using machine_list = std::vector<std::unique_ptr<machine>>;

/// The service that lists the machines and takes orders about them, without a check of the tokens.
class machine_service
{
public:
    machine_service(recorder& to, machine_list& all)
        : record_(to), all_(all), server_([this](const request& r) { return answer(r); }, true)
    {
    }

    std::string address() const
    {
        return server_.address();
    }

    void set_silent(bool on)
    {
        record_.write(on ? "machines' service: silent" : "machines' service: answers again");
        server_.set_silent(on);
    }

    /// \return whether an order for a machine had a lower token than one before it
    bool had_lower_token()
    {
        const std::lock_guard hold(mutex_);
        return had_lower_token_;
    }

    std::size_t orders()
    {
        const std::lock_guard hold(mutex_);
        return orders_;
    }

private:
    static constexpr int maintenance_ms = 2000;

    std::optional<response> answer(const request& r)
    {
        sleep_ms(4);
        const std::lock_guard hold(mutex_);
        if (r.path == "/api/machines")
        {
            json rows = json::array();
            for (const auto& it : all_)
            {
                rows.push_back(it->list_row());
            }
            return response{200, json{{"machines", rows}, {"nextToken", nullptr}}.dump()};
        }
        if (r.path != "/api/machine-upkeep")
        {
            return response{409, json{{"reason", "busy"}}.dump()};
        }
        const auto name = json::parse(r.body).at("machine").get<std::string>();
        const auto token = std::stoll(r.fields.at("x-fencing-token"));
        auto& highest = highest_[name];
        const bool lower = token < highest;
        record_.write("upkeep of " + name + " ordered by " + r.fields.at("x-lease-holder") +
                      " with token " + std::to_string(token) +
                      (lower ? ", lower than " + std::to_string(highest) + " before it" : ""));
        had_lower_token_ = had_lower_token_ || lower;
        highest = std::max<std::int64_t>(highest, token);
        ++orders_;
        for (const auto& it : all_)
        {
            if (it->name() == name && done_.insert(name).second)
            {
                it->go_down(maintenance_ms);
            }
        }
        return response{200, "{}"};
    }

    recorder& record_;
    machine_list& all_;
    std::mutex mutex_;
    std::map<std::string, std::int64_t> highest_;
    std::set<std::string> done_;
    std::size_t orders_ = 0;
    bool had_lower_token_ = false;
    server server_; // last: its threads use the members above
};

} // namespace review
