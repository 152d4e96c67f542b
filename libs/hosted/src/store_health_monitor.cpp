#include "hosted/store_health_monitor.hpp"

#include "hosted/keys.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::hosted
{

/// Callbacks hold the state by weak pointer, because an answer may arrive after the monitor is
/// destroyed.
struct store_health_state : std::enable_shared_from_this<store_health_state>
{
    ports::metadata_store real;
    ports::scheduler time;
    ports::telemetry tel;
    store_health_settings settings;
    /// Time of the earliest call since the latest answer.
    std::optional<core::mono_time> unanswered_since;
    /// Time of the first call since the latest success that failed.
    std::optional<core::mono_time> failing_since;
    bool unresponsive = false;
    /// Open reads by id; each function sends its read once more.
    std::map<std::uint64_t, std::function<void()>> open_reads;
    std::uint64_t last_read_id = 0;
    ports::timer_id timer = 0;
    core::mono_time check_due_at;

    void record_call();
    void record_result(ports::kv_status status);
    void schedule_check(core::millis delay);
    void check_health();
    void send_probe();
    void repeat_open_reads();

    template <class Answer>
    using sender = std::function<void(const ports::metadata_store&, std::function<void(Answer)>)>;

    template <class Answer>
    void read(sender<Answer> send, std::function<void(Answer)> done, bool waits);
};

namespace
{

/// \return whether the store has answered: a refusal counts as an answer, but a call that could not
/// be sent or got no answer in time does not.
bool is_answer(ports::kv_status s)
{
    return s == ports::kv_status::ok || s == ports::kv_status::conflict ||
           s == ports::kv_status::rejected;
}

} // namespace

void store_health_state::record_call()
{
    if (unanswered_since)
    {
        return;
    }
    unanswered_since = time.now();
    if (timer == 0)
    {
        schedule_check(settings.probe_after);
    }
}

void store_health_state::record_result(ports::kv_status status)
{
    if (status == ports::kv_status::ok || status == ports::kv_status::conflict)
    {
        failing_since.reset();
    }
    else if (!failing_since)
    {
        failing_since = time.now();
    }
    if (!is_answer(status))
    {
        return;
    }
    const auto since = std::exchange(unanswered_since, std::nullopt);
    if (!std::exchange(unresponsive, false))
    {
        return;
    }
    const auto span = std::chrono::duration_cast<core::millis>(time.now() - *since);
    tel.log(ports::log_level::info,
        "store_answers_again",
        {{"silent_ms", std::to_string(span.count())},
            {"repeated", std::to_string(open_reads.size())}});
    repeat_open_reads();
}

void store_health_state::schedule_check(core::millis delay)
{
    check_due_at = time.now() + delay;
    timer = time.after(delay,
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->timer = 0;
                self->check_health();
            }
        });
}

void store_health_state::check_health()
{
    if (!unanswered_since)
    {
        return;
    }
    const auto now = time.now();
    if (now - check_due_at > settings.max_check_delay)
    {
        // This node was stalled. Answers that arrived meanwhile are read after this timer.
        unanswered_since = unresponsive ? unanswered_since : now;
        schedule_check(settings.probe_after);
        return;
    }
    const auto span = std::chrono::duration_cast<core::millis>(now - *unanswered_since);
    if (!unresponsive && span >= settings.unresponsive_after)
    {
        unresponsive = true;
        tel.log(ports::log_level::warning,
            "store_silent",
            {{"since_ms", std::to_string(span.count())},
                {"open", std::to_string(open_reads.size())}});
    }
    if (span >= settings.probe_after)
    {
        send_probe();
    }
    schedule_check(
        span >= settings.probe_after ? settings.probe_interval : settings.probe_after - span);
}

void store_health_state::send_probe()
{
    real.get(leader_key,
        ports::read_freshness::any_recent,
        [weak = weak_from_this()](const ports::item_read& it)
        {
            if (const auto self = weak.lock())
            {
                self->record_result(it.status);
            }
        });
}

void store_health_state::repeat_open_reads()
{
    std::vector<std::function<void()>> all;
    for (const auto& [id, send] : open_reads)
    {
        all.push_back(send);
    }
    for (const auto& send : all)
    {
        send();
    }
}

/// Sends a read and registers it as open, so that it can be repeated.
/// \param waits whether the store may hold back its answer, so that a missing answer proves nothing
template <class Answer>
void store_health_state::read(sender<Answer> send, std::function<void(Answer)> done, bool waits)
{
    if (!waits)
    {
        record_call();
    }
    const auto id = ++last_read_id;
    const auto attempts_in_flight = std::make_shared<int>(0);
    const auto on_answer =
        [weak = weak_from_this(), id, attempts_in_flight, done = std::move(done)](Answer it)
    {
        const auto self = weak.lock();
        const bool last = --*attempts_in_flight == 0;
        if (self == nullptr || !self->open_reads.contains(id))
        {
            return; // another attempt was answered first
        }
        if (is_answer(it.status) || last)
        {
            self->open_reads.erase(id);
            self->record_result(it.status);
            done(std::move(it));
        }
    };
    const auto send_once =
        [weak = weak_from_this(), send = std::move(send), on_answer, attempts_in_flight]
    {
        if (const auto self = weak.lock())
        {
            ++*attempts_in_flight;
            send(self->real, on_answer);
        }
    };
    open_reads[id] = send_once;
    send_once();
}

store_health_monitor::store_health_monitor(const ports::metadata_store& real,
    ports::scheduler time,
    ports::telemetry tel,
    store_health_settings s)
    : state_(std::make_shared<store_health_state>())
{
    state_->real = real;
    state_->time = std::move(time);
    state_->tel = std::move(tel);
    state_->settings = s;
}

store_health_monitor::~store_health_monitor()
{
    state_->time.cancel(state_->timer);
}

bool store_health_monitor::is_unresponsive() const
{
    return state_->unresponsive;
}

bool store_health_monitor::is_failing() const
{
    const auto& s = *state_;
    return s.unresponsive ||
           (s.failing_since && s.time.now() - *s.failing_since >= s.settings.failing_after);
}

namespace
{

/// Makes a call that is not repeated count as sent, and its answer as a result of the store.
template <class Answer>
std::function<void(Answer)> with_result_recorded(
    const std::shared_ptr<store_health_state>& s, std::function<void(Answer)> done)
{
    s->record_call();
    return [weak = std::weak_ptr(s), done = std::move(done)](Answer it)
    {
        if (const auto self = weak.lock())
        {
            self->record_result(it.status);
        }
        done(std::move(it));
    };
}

} // namespace

ports::metadata_store store_health_monitor::port() const
{
    const auto s = state_;
    auto out = s->real;
    out.get = [s](const std::string& key, ports::read_freshness fresh, auto done)
    {
        const auto send = [key, fresh](const auto& real, auto on_answer)
        {
            real.get(key, fresh, std::move(on_answer));
        };
        s->read<ports::item_read>(send, std::move(done), false);
    };
    out.range = [s](const std::string& prefix, const std::string& after, auto done)
    {
        const auto send = [prefix, after](const auto& real, auto on_answer)
        {
            real.range(prefix, after, std::move(on_answer));
        };
        s->read<ports::page_read>(send, std::move(done), false);
    };
    out.watch = [s](const std::string& prefix, ports::revision after, core::millis wait, auto done)
    {
        const auto send = [prefix, after, wait](const auto& real, auto on_answer)
        {
            real.watch(prefix, after, wait, std::move(on_answer));
        };
        s->read<ports::changes_read>(send, std::move(done), wait.count() > 0);
    };
    out.commit = [s](const ports::store_transaction& t, auto done)
    {
        s->real.commit(t, with_result_recorded<ports::commit_result>(s, std::move(done)));
    };
    out.grant_lease = [s](core::millis ttl, auto done)
    {
        // If both the call and its repeat are granted a lease, at most one of the two is renewed,
        // and the other one expires.
        const auto send = [ttl](const auto& real, auto on_answer)
        {
            real.grant_lease(ttl, std::move(on_answer));
        };
        s->read<ports::kv_lease>(send, std::move(done), false);
    };
    out.keep_alive = [s](ports::lease_id id, auto done)
    {
        const auto send = [id](const auto& real, auto on_answer)
        {
            real.keep_alive(id, std::move(on_answer));
        };
        s->read<ports::kv_lease>(send, std::move(done), false);
    };
    return out;
}

} // namespace camphorhitch::hosted
