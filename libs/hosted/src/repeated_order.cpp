#include "repeated_order.hpp"

#include "hosted/leadership.hpp"

#include <utility>

namespace camphorhitch::hosted
{

namespace
{

using ports::runner_verdict;

constexpr int max_sends = 3;

struct repeated_order : std::enable_shared_from_this<repeated_order>
{
    std::weak_ptr<term> sending_term; ///< no repeat is sent after its end
    order_sender send;
    std::function<void(ports::runner_answer, bool)> done;
    int sends = 0;
    int in_flight = 0;
    bool reported = false;
    bool any_unknown = false; ///< a send had no answer: it may have been carried out
    ports::runner_answer last;

    void send_once();
    void schedule_repeat();
    void handle_answer(const ports::runner_answer& answer);
    void report(const ports::runner_answer& answer);
};

bool is_conclusive(runner_verdict v)
{
    return v == runner_verdict::done || v == runner_verdict::fenced ||
           v == runner_verdict::other_life;
}

void repeated_order::send_once()
{
    ++sends;
    ++in_flight;
    if (sends < max_sends)
    {
        schedule_repeat();
    }
    send([self = shared_from_this()](const ports::runner_answer& it) { self->handle_answer(it); });
}

void repeated_order::schedule_repeat()
{
    const auto t = sending_term.lock();
    if (t == nullptr || !t->settings.repeats_overdue_calls)
    {
        return;
    }
    const auto due = t->now() + answer_overdue_after;
    t->ctx.time.after(answer_overdue_after,
        t->guarded(
            [self = shared_from_this(), &t = *t, due]
            {
                if (self->reported || !t.lead->holds_lease())
                {
                    return;
                }
                if (t.now() - due > max_timer_delay)
                {
                    self->schedule_repeat();
                    return;
                }
                self->send_once();
            }));
}

void repeated_order::handle_answer(const ports::runner_answer& answer)
{
    --in_flight;
    if (reported)
    {
        return;
    }
    if (is_conclusive(answer.verdict))
    {
        report(answer);
        return;
    }
    any_unknown = any_unknown || answer.verdict == runner_verdict::unknown;
    last = answer;
    if (in_flight > 0)
    {
        return;
    }
    report(any_unknown ? ports::runner_answer{runner_verdict::unknown, answer.clock_ms} : last);
}

void repeated_order::report(const ports::runner_answer& answer)
{
    reported = true;
    done(answer, in_flight == 0 && !any_unknown);
}

} // namespace

void send_repeated(const std::shared_ptr<term>& t,
    order_sender send,
    std::function<void(ports::runner_answer, bool)> done)
{
    const auto it = std::make_shared<repeated_order>();
    it->sending_term = t;
    it->send = std::move(send);
    it->done = std::move(done);
    it->send_once();
}

} // namespace camphorhitch::hosted
