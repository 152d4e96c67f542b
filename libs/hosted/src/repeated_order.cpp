#include "repeated_order.hpp"

#include "hosted/leadership.hpp"

#include <utility>

namespace camphorhitch::hosted
{

namespace
{

using ports::runner_verdict;

constexpr int most_tries = 3;

struct repeated_order : std::enable_shared_from_this<repeated_order>
{
    std::weak_ptr<term> owner; ///< its end ends the repeats
    order_sender send;
    std::function<void(ports::runner_answer)> done;
    int tries = 0;
    int out = 0;
    bool told = false;
    bool unknown = false; ///< a try ended so: it may have been carried out
    ports::runner_answer last;

    void try_once();
    void repeat_later();
    void take(const ports::runner_answer& answer);
    void tell(const ports::runner_answer& answer);
};

bool settles(runner_verdict v)
{
    return v == runner_verdict::done || v == runner_verdict::fenced ||
           v == runner_verdict::other_life;
}

void repeated_order::try_once()
{
    ++tries;
    ++out;
    if (tries < most_tries)
    {
        repeat_later();
    }
    send([self = shared_from_this()](const ports::runner_answer& it) { self->take(it); });
}

void repeated_order::repeat_later()
{
    const auto t = owner.lock();
    if (t == nullptr || !t->settings.repeats_calls)
    {
        return;
    }
    const auto due = t->now() + answer_is_near;
    t->ctx.time.after(answer_is_near,
        t->guarded(
            [self = shared_from_this(), &t = *t, due]
            {
                if (self->told || !t.lead->holds_lease())
                {
                    return;
                }
                if (t.now() - due > timer_is_late)
                {
                    self->repeat_later();
                    return;
                }
                self->try_once();
            }));
}

void repeated_order::take(const ports::runner_answer& answer)
{
    --out;
    if (told)
    {
        return;
    }
    if (settles(answer.verdict))
    {
        tell(answer);
        return;
    }
    unknown = unknown || answer.verdict == runner_verdict::unknown;
    last = answer;
    if (out > 0)
    {
        return;
    }
    tell(unknown ? ports::runner_answer{runner_verdict::unknown, answer.clock_ms} : last);
}

void repeated_order::tell(const ports::runner_answer& answer)
{
    told = true;
    done(answer);
}

} // namespace

void send_repeated(const std::shared_ptr<term>& t,
    order_sender send,
    std::function<void(ports::runner_answer)> done)
{
    const auto it = std::make_shared<repeated_order>();
    it->owner = t;
    it->send = std::move(send);
    it->done = std::move(done);
    it->try_once();
}

} // namespace camphorhitch::hosted
