#include "hosted/store_pulse.hpp"

#include "hosted/keys.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::hosted
{

/// Callbacks hold it by weak pointer: an answer may come after its end.
struct pulse_state : std::enable_shared_from_this<pulse_state>
{
    ports::metadata_store real;
    ports::scheduler time;
    ports::telemetry tel;
    pulse_settings settings;
    std::optional<core::mono_time> unanswered_since; ///< earliest call since the latest answer
    bool silent = false;
    /// Sends each read that is under way once more.
    std::map<std::uint64_t, std::function<void()>> open;
    std::uint64_t last_read = 0;
    ports::timer_id timer = 0;
    core::mono_time check_due;

    void note_sent();
    void note_end(ports::kv_status status);
    void check_after(core::millis delay);
    void check();
    void probe();
    void repeat_open();

    template <class Answer>
    using sender = std::function<void(const ports::metadata_store&, std::function<void(Answer)>)>;

    template <class Answer>
    void read(sender<Answer> send, std::function<void(Answer)> done, bool waits);
};

namespace
{

/// A refusal is an answer; a call that could not leave, or got no answer in time, is none.
bool is_answer(ports::kv_status s)
{
    return s == ports::kv_status::ok || s == ports::kv_status::conflict ||
           s == ports::kv_status::rejected;
}

} // namespace

void pulse_state::note_sent()
{
    if (unanswered_since)
    {
        return;
    }
    unanswered_since = time.now();
    if (timer == 0)
    {
        check_after(settings.suspect);
    }
}

void pulse_state::note_end(ports::kv_status status)
{
    if (!is_answer(status))
    {
        return;
    }
    const auto since = std::exchange(unanswered_since, std::nullopt);
    if (!std::exchange(silent, false))
    {
        return;
    }
    const auto span = std::chrono::duration_cast<core::millis>(time.now() - *since);
    tel.log(ports::log_level::info,
        "store_answers_again",
        {{"silent_ms", std::to_string(span.count())}, {"repeated", std::to_string(open.size())}});
    repeat_open();
}

void pulse_state::check_after(core::millis delay)
{
    check_due = time.now() + delay;
    timer = time.after(delay,
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->timer = 0;
                self->check();
            }
        });
}

void pulse_state::check()
{
    if (!unanswered_since)
    {
        return;
    }
    const auto now = time.now();
    if (now - check_due > settings.late)
    {
        // This node stood still: what came meanwhile is read after this timer.
        unanswered_since = silent ? unanswered_since : now;
        check_after(settings.suspect);
        return;
    }
    const auto span = std::chrono::duration_cast<core::millis>(now - *unanswered_since);
    if (!silent && span >= settings.silent)
    {
        silent = true;
        tel.log(ports::log_level::warning,
            "store_silent",
            {{"since_ms", std::to_string(span.count())}, {"open", std::to_string(open.size())}});
    }
    if (span >= settings.suspect)
    {
        probe();
    }
    check_after(span >= settings.suspect ? settings.probe_every : settings.suspect - span);
}

void pulse_state::probe()
{
    real.get(leader_key,
        ports::read_freshness::any_recent,
        [weak = weak_from_this()](const ports::item_read& it)
        {
            if (const auto self = weak.lock())
            {
                self->note_end(it.status);
            }
        });
}

void pulse_state::repeat_open()
{
    std::vector<std::function<void()>> all;
    for (const auto& [id, send] : open)
    {
        all.push_back(send);
    }
    for (const auto& send : all)
    {
        send();
    }
}

/// \param waits the store may hold its answer back: its silence proves nothing
template <class Answer>
void pulse_state::read(sender<Answer> send, std::function<void(Answer)> done, bool waits)
{
    if (!waits)
    {
        note_sent();
    }
    const auto id = ++last_read;
    const auto tries_out = std::make_shared<int>(0);
    const auto take = [weak = weak_from_this(), id, tries_out, done = std::move(done)](Answer it)
    {
        const auto self = weak.lock();
        const bool last = --*tries_out == 0;
        if (self == nullptr || !self->open.contains(id))
        {
            return; // another try was answered first
        }
        if (is_answer(it.status) || last)
        {
            self->open.erase(id);
            self->note_end(it.status);
            done(std::move(it));
        }
    };
    const auto send_once = [weak = weak_from_this(), send = std::move(send), take, tries_out]
    {
        if (const auto self = weak.lock())
        {
            ++*tries_out;
            send(self->real, take);
        }
    };
    open[id] = send_once;
    send_once();
}

store_pulse::store_pulse(const ports::metadata_store& real,
    ports::scheduler time,
    ports::telemetry tel,
    pulse_settings s)
    : state_(std::make_shared<pulse_state>())
{
    state_->real = real;
    state_->time = std::move(time);
    state_->tel = std::move(tel);
    state_->settings = s;
}

store_pulse::~store_pulse()
{
    state_->time.cancel(state_->timer);
}

bool store_pulse::is_silent() const
{
    return state_->silent;
}

namespace
{

/// Passes a call on that is not repeated here, and watches for its answer.
template <class Answer>
std::function<void(Answer)> watched(
    const std::shared_ptr<pulse_state>& s, std::function<void(Answer)> done)
{
    s->note_sent();
    return [weak = std::weak_ptr(s), done = std::move(done)](Answer it)
    {
        if (const auto self = weak.lock())
        {
            self->note_end(it.status);
        }
        done(std::move(it));
    };
}

} // namespace

ports::metadata_store store_pulse::port() const
{
    const auto s = state_;
    auto out = s->real;
    out.get = [s](const std::string& key, ports::read_freshness fresh, auto done)
    {
        const auto send = [key, fresh](const auto& real, auto take)
        {
            real.get(key, fresh, std::move(take));
        };
        s->read<ports::item_read>(send, std::move(done), false);
    };
    out.range = [s](const std::string& prefix, const std::string& after, auto done)
    {
        const auto send = [prefix, after](const auto& real, auto take)
        {
            real.range(prefix, after, std::move(take));
        };
        s->read<ports::page_read>(send, std::move(done), false);
    };
    out.watch = [s](const std::string& prefix, ports::revision after, core::millis wait, auto done)
    {
        const auto send = [prefix, after, wait](const auto& real, auto take)
        {
            real.watch(prefix, after, wait, std::move(take));
        };
        s->read<ports::changes_read>(send, std::move(done), wait.count() > 0);
    };
    out.commit = [s](const ports::store_transaction& t, auto done)
    {
        s->real.commit(t, watched<ports::commit_result>(s, std::move(done)));
    };
    out.grant_lease = [s](core::millis ttl, auto done)
    {
        // A lease that the call and its repeat were both granted is renewed once at most, and the
        // other one ends by itself.
        const auto send = [ttl](const auto& real, auto take)
        {
            real.grant_lease(ttl, std::move(take));
        };
        s->read<ports::kv_lease>(send, std::move(done), false);
    };
    out.keep_alive = [s](ports::lease_id id, auto done)
    {
        const auto send = [id](const auto& real, auto take)
        {
            real.keep_alive(id, std::move(take));
        };
        s->read<ports::kv_lease>(send, std::move(done), false);
    };
    return out;
}

} // namespace camphorhitch::hosted
