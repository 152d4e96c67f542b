#include "relay/pool.hpp"

#include "codec.hpp"
#include "pool_state.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorhitch::relay
{

using ports::runner_verdict;

namespace
{

void add(verdict_counts& counts, runner_verdict how)
{
    ++counts.at(static_cast<std::size_t>(how));
}

} // namespace

void pool_state::report_counts(const char* way, verdict_counts& counts) const
{
    for (std::size_t i = 0; i < counts.size(); ++i)
    {
        if (counts.at(i) > 0)
        {
            const auto name = ports::runner_verdict_names.at(i).name;
            parts.tel.count("camphorhitch_runner_orders_total",
                {{"way", way}, {"verdict", std::string(name)}},
                counts.at(i));
        }
    }
    counts = {};
}

void pool_state::submit(waiting_order o)
{
    if (const auto* const poll = std::get_if<ports::poll_order>(&o.body))
    {
        count_runner(o.to.id);
        const bool waits = poll->wait.count() > 0;
        if (poll->direct || (!waits && goes_at_once()))
        {
            make_locally(std::move(o));
            return;
        }
    }
    waiting.push_back(std::move(o));
    gather();
}

/// The first looks of a term renew leases that end soon. While no relays are connected this node
/// makes as many as it can bear; the others wait for the relays.
bool pool_state::goes_at_once() const
{
    return (!needed || settling()) && local_calls_awaited() < settings.most_local_calls;
}

/// All orders of one turn of the loop go out together.
void pool_state::gather()
{
    if (flushing)
    {
        return;
    }
    flushing = true;
    time.post(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->flushing = false;
                self->flush();
            }
        });
}

void pool_state::count_runner(const std::string& id)
{
    polled[id] = clock.elapsed;
    if (!needed && polled.size() >= settings.fewest_runners)
    {
        needed = true;
        settle_until = clock.elapsed + settings.settle;
        connect_due();
    }
}

bool pool_state::settling() const
{
    if (!active || !needed || clock.elapsed >= settle_until)
    {
        return false;
    }
    if (!listed)
    {
        return true;
    }
    std::size_t well = 0;
    bool connecting = false;
    for (const auto& [member, r] : relays)
    {
        well += r.state == relay_state::well ? 1U : 0U;
        connecting = connecting || !r.tried || r.state == relay_state::connecting;
    }
    const auto enough = settings.settled_part * static_cast<double>(relays.size());
    return connecting && static_cast<double>(well) < enough;
}

void pool_state::flush()
{
    if (settling())
    {
        return; // a tick or the end of the last connect() comes back to it
    }
    if (!parts.may_send())
    {
        refuse_waiting();
        return;
    }
    for (auto& it : std::exchange(waiting, {}))
    {
        give(std::move(it));
    }
    for (auto& [member, r] : relays)
    {
        send_orders(r);
    }
}

/// A former owner's orders would only be refused by their token; not sending them spares the calls.
void pool_state::refuse_waiting()
{
    for (const auto& it : std::exchange(waiting, {}))
    {
        refuse(it);
    }
    for (const auto& it : std::exchange(waiting_locally, {}))
    {
        refuse(it);
    }
}

void pool_state::refuse(const waiting_order& o)
{
    const ports::runner_answer refused{runner_verdict::not_sent, -1};
    if (const auto* const poll = std::get_if<std::function<void(ports::poll_answer)>>(&o.done))
    {
        (*poll)({refused, {}, {}});
        return;
    }
    std::get<std::function<void(ports::runner_answer)>>(o.done)(refused);
}

void pool_state::give(waiting_order o)
{
    auto* const r = route(o.to);
    if (r == nullptr)
    {
        make_locally(std::move(o));
        return;
    }
    const auto number = ++last_number;
    const auto* const poll = std::get_if<ports::poll_order>(&o.body);
    const auto rest = poll != nullptr ? poll->wait + settings.poll_slack : settings.order_timeout;
    order_under_way it;
    it.member = r->place.member;
    it.runner = o.to.id;
    it.done = std::move(o.done);
    it.deadline = clock.elapsed + rest;
    under_way.emplace(number, std::move(it));
    r->orders.push_back({number, std::move(o.to), std::move(o.body)});
}

void pool_state::make_locally(waiting_order o)
{
    waiting_locally.push_back(std::move(o));
    make_local_calls();
}

std::size_t pool_state::local_calls_awaited() const
{
    const auto since = time.now() - settings.answer_is_near;
    const auto end = std::find_if(local_calls.rbegin(),
        local_calls.rend(),
        [&](const auto& it) { return it.second < since; });
    return static_cast<std::size_t>(std::distance(local_calls.rbegin(), end));
}

void pool_state::make_local_calls()
{
    if (calling_locally)
    {
        return; // an answer came within its call
    }
    calling_locally = true;
    while (!waiting_locally.empty() && local_calls_awaited() < settings.most_local_calls)
    {
        auto it = std::move(waiting_locally.front());
        waiting_locally.pop_front();
        if (parts.may_send())
        {
            call_locally(std::move(it));
        }
        else
        {
            refuse(it);
        }
    }
    calling_locally = false;
}

void pool_state::call_locally(waiting_order o)
{
    const auto number = ++last_local_call;
    local_calls.emplace(number, time.now());
    const auto counted = [weak = weak_from_this(), number](auto done)
    {
        return [weak, number, done = std::move(done)](const auto& a)
        {
            const auto self = weak.lock();
            if (self)
            {
                answer it;
                it.body = a;
                add(self->made_locally, call_of(it).verdict);
                self->local_calls.erase(number);
            }
            done(a);
            if (self)
            {
                self->make_local_calls();
            }
        };
    };
    using plain = std::function<void(ports::runner_answer)>;
    if (auto* const poll = std::get_if<ports::poll_order>(&o.body))
    {
        auto done = std::get<std::function<void(ports::poll_answer)>>(std::move(o.done));
        parts.local.poll(o.to, *poll, counted(std::move(done)));
        return;
    }
    auto done = counted(std::get<plain>(std::move(o.done)));
    if (auto* const start = std::get_if<ports::start_order>(&o.body))
    {
        parts.local.start(o.to, std::move(*start), std::move(done));
    }
    else if (auto* const stop = std::get_if<ports::stop_order>(&o.body))
    {
        parts.local.stop(o.to, std::move(*stop), std::move(done));
    }
    else
    {
        parts.local.throttle(
            o.to, std::get<ports::throttle_order>(std::move(o.body)), std::move(done));
    }
}

void pool_state::send_orders(relay_entry& r)
{
    auto orders = std::exchange(r.orders, {});
    order_batch part;
    std::size_t bytes = 0;
    for (auto& it : orders)
    {
        const auto more = size_bound(it);
        if (bytes + more > batch_bytes && !part.orders.empty())
        {
            send_part(r, part);
            part.orders.clear();
            bytes = 0;
        }
        bytes += more;
        part.orders.push_back(std::move(it));
    }
    if (!part.orders.empty())
    {
        send_part(r, part);
    }
}

void pool_state::send_part(relay_entry& r, const order_batch& part)
{
    const auto wire = r.wire;
    if (!wire)
    {
        // Lost since the orders were gathered for it; losing it has ended them.
        return;
    }
    for (const auto& it : part.orders)
    {
        const auto found = under_way.find(it.number);
        if (found != under_way.end())
        {
            found->second.framed = true;
            found->second.bytes_before = wire->queued_bytes();
        }
    }
    r.sent_at = clock.elapsed;
    wire->send(encode(part));
}

void pool_state::take(const std::string& member, std::string_view frame)
{
    if (const auto r = relays.find(member); r != relays.end())
    {
        note_heard(r->second);
    }
    if (frame.empty())
    {
        return;
    }
    const auto read = decode_answers(frame);
    if (!core::is_ok(read))
    {
        lose(member, "bad frame: " + core::failure(read).message);
        return;
    }
    const auto& batch = core::value(read);
    const auto r = relays.find(member);
    if (batch.leaving && r != relays.end() && !r->second.leaving)
    {
        r->second.leaving = true;
        remove_relay(routes, member);
        parts.tel.log(ports::log_level::info, "relay_leaving", {{"relay", member}});
    }
    for (const auto& it : batch.answers)
    {
        answer_order(it, member);
    }
}

void pool_state::answer_order(const answer& a, const std::string& member)
{
    const auto found = under_way.find(a.number);
    if (found == under_way.end() || found->second.member != member)
    {
        return; // timed out; its end has been told
    }
    if (call_of(a).verdict == runner_verdict::unknown)
    {
        avoid(found->second);
    }
    const auto done = std::move(found->second.done);
    under_way.erase(found);
    add(relayed, call_of(a).verdict);
    if (const auto* const plain = std::get_if<std::function<void(ports::runner_answer)>>(&done))
    {
        (*plain)(call_of(a));
        return;
    }
    ports::poll_answer whole;
    whole.call = call_of(a);
    if (const auto* const rows = std::get_if<ports::poll_answer>(&a.body))
    {
        whole = *rows;
    }
    else if (whole.call.verdict == runner_verdict::done)
    {
        // An answer without rows would make all runs look missing.
        whole.call.verdict = runner_verdict::unknown;
    }
    std::get<std::function<void(ports::poll_answer)>>(done)(whole);
}

void pool_state::finish(std::uint64_t number, runner_verdict how)
{
    const auto found = under_way.find(number);
    if (found != under_way.end())
    {
        answer_order({number, ports::runner_answer{how, -1}}, std::string(found->second.member));
    }
}

pool::pool(pool_parts parts, pool_settings s) : state_(std::make_shared<pool_state>())
{
    state_->parts = std::move(parts);
    state_->settings = s;
    state_->time = state_->parts.loop->scheduler();
}

pool::~pool()
{
    state_->end();
    state_->close_all();
}

ports::runners pool::port()
{
    const auto submit = [weak = std::weak_ptr(state_)](
                            const ports::runner_ref& to, auto order, auto done)
    {
        if (const auto self = weak.lock())
        {
            self->submit({to, std::move(order), std::move(done)});
        }
    };
    return {submit, submit, submit, submit};
}

void pool::begin()
{
    state_->begin();
}

void pool::end()
{
    state_->end();
}

void pool::set_relays(std::vector<ports::relay_endpoint> all)
{
    state_->set_relays(std::move(all));
}

} // namespace camphorhitch::relay
