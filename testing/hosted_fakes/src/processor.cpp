#include "hosted_fakes/processor.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <utility>

namespace camphorhitch::hosted_fakes
{

namespace
{

// Timeouts of the platform's clients.
constexpr core::millis order_timeout{900};
constexpr core::millis store_timeout{1200};
constexpr core::millis page_timeout{3000};
constexpr core::millis lease_timeout{900};
constexpr core::millis wait_slack{700}; ///< added to a call's own wait
/// Step in which virtual time advances.
constexpr core::millis tick{1};

} // namespace

processor::processor(daemon_fakes::virtual_time& time, daemon_fakes::process& p, double of_a_core)
    : share(of_a_core), time_(time), process_(p), free_at_(time.now())
{
}

void processor::add(queue& to, core::micros cost, std::function<void()> fn)
{
    to.push_back({cost, std::move(fn)});
    if (!is_scheduled_)
    {
        is_scheduled_ = true;
        time_.after(core::millis{0}, [this] { process_.enter([this] { run_iteration(); }); });
    }
}

void processor::begin_iteration()
{
    for (auto* const from : {&timers_, &sends_, &answers_})
    {
        std::move(from->begin(), from->end(), std::back_inserter(current_));
        from->clear();
    }
}

void processor::run_iteration()
{
    free_at_ = std::max(free_at_, time_.now());
    while (!process_.paused && !process_.dead && free_at_ < time_.now() + tick)
    {
        if (current_.empty())
        {
            begin_iteration();
        }
        if (current_.empty())
        {
            is_scheduled_ = false;
            return;
        }
        const auto it = std::move(current_.front());
        current_.pop_front();
        const auto duration = static_cast<double>(it.cost.count()) / share;
        free_at_ += core::micros{static_cast<std::int64_t>(duration)};
        used_ += it.cost;
        it.fn();
    }
    const auto wait = std::chrono::floor<core::millis>(free_at_ - time_.now());
    time_.after(std::max(wait, tick), [this] { process_.enter([this] { run_iteration(); }); });
}

void processor::stall_for(core::millis how_long)
{
    free_at_ = std::max(free_at_, time_.now() + how_long);
}

core::micros processor::delay() const
{
    return std::max(core::micros{0}, free_at_ - time_.now());
}

template <class Answer>
void processor::call(std::function<void(std::function<void(Answer)>)> send,
    core::millis timeout,
    Answer unanswered,
    std::function<void(Answer)> done)
{
    add(sends_,
        costs.send,
        [this, send = std::move(send), timeout, unanswered, done = std::move(done)]
        {
            const auto give_up = time_.now() + timeout;
            send(
                [this, give_up, unanswered, done](Answer it)
                {
                    add(answers_,
                        costs.answer,
                        [this, give_up, unanswered, done, it = std::move(it)] {
                            done(times_out_unread_answers && time_.now() > give_up ? unanswered
                                                                                   : it);
                        });
                });
        });
}

ports::scheduler processor::wrap(const ports::scheduler& real)
{
    auto out = real;
    // Ids of the underlying timers by the ids that callers get.
    const auto known = std::make_shared<std::map<ports::timer_id, ports::timer_id>>();
    out.after = [this, known](core::millis delay, std::function<void()> fn)
    {
        const auto id = ++last_timer_;
        live_.insert(id);
        const auto run = [this, id, known, fn = std::move(fn)]
        {
            if (live_.erase(id) > 0)
            {
                fn();
            }
        };
        (*known)[id] = time_.after(delay,
            [this, id, known, run]
            {
                known->erase(id);
                process_.enter([this, run] { add(timers_, costs.timer, run); });
            });
        return id;
    };
    out.post = [after = out.after](std::function<void()> fn)
    {
        after(core::millis{0}, std::move(fn));
    };
    out.cancel = [this, known](ports::timer_id id)
    {
        live_.erase(id);
        if (const auto found = known->find(id); found != known->end())
        {
            time_.cancel(found->second);
            known->erase(found);
        }
    };
    return out;
}

ports::runners processor::wrap(const ports::runners& real)
{
    auto out = real;
    out.start = [this, real](const auto& to, const auto& o, const auto& done)
    {
        call<ports::runner_answer>(
            [=](const auto& d) { real.start(to, o, d); }, order_timeout, {}, done);
    };
    out.stop = [this, real](const auto& to, const auto& o, const auto& done)
    {
        call<ports::runner_answer>(
            [=](const auto& d) { real.stop(to, o, d); }, order_timeout, {}, done);
    };
    out.poll = [this, real](const auto& to, const auto& o, const auto& done)
    {
        call<ports::poll_answer>(
            [=](const auto& d) { real.poll(to, o, d); }, o.wait + wait_slack, {}, done);
    };
    return out;
}

ports::metadata_store processor::wrap(const ports::metadata_store& real)
{
    auto out = real;
    const auto unknown = ports::kv_status::unknown;
    out.get = [=, this](const auto& key, ports::read_freshness f, const auto& done)
    {
        call<ports::item_read>(
            [=](const auto& d) { real.get(key, f, d); }, store_timeout, {unknown, {}, 0}, done);
    };
    out.range = [=, this](const auto& prefix, const auto& after, const auto& done)
    {
        call<ports::page_read>([=](const auto& d) { real.range(prefix, after, d); },
            page_timeout,
            {unknown, {}, false, 0},
            done);
    };
    out.watch = [=, this](const auto& prefix, auto after, core::millis wait, const auto& done)
    {
        call<ports::changes_read>([=](const auto& d) { real.watch(prefix, after, wait, d); },
            wait + wait_slack,
            {unknown, false, {}, 0},
            done);
    };
    out.commit = [=, this](const auto& t, const auto& done)
    {
        call<ports::commit_result>([=](const auto& d) { real.commit(t, d); },
            store_timeout,
            {unknown, 0, {}, false},
            done);
    };
    ports::kv_lease unanswered;
    unanswered.status = unknown;
    out.grant_lease = [=, this](core::millis ttl, const auto& done)
    {
        call<ports::kv_lease>(
            [=](const auto& d) { real.grant_lease(ttl, d); }, lease_timeout, unanswered, done);
    };
    out.keep_alive = [=, this](ports::lease_id id, const auto& done)
    {
        call<ports::kv_lease>(
            [=](const auto& d) { real.keep_alive(id, d); }, lease_timeout, unanswered, done);
    };
    out.end_lease = [=, this](ports::lease_id id, const auto& done)
    {
        call<ports::kv_status>(
            [=](const auto& d) { real.end_lease(id, d); }, lease_timeout, unknown, done);
    };
    return out;
}

hosted::context processor::wrap(hosted::context c)
{
    c.time = wrap(c.time);
    c.runners = wrap(c.runners);
    c.store = wrap(c.store);
    c.processor_time = [this]
    {
        return used_;
    };
    c.measure_processor_share = [this]
    {
        return share;
    };
    return c;
}

} // namespace camphorhitch::hosted_fakes
