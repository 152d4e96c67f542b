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

void add(verdict_counts& counts, runner_verdict verdict)
{
    ++counts.at(static_cast<std::size_t>(verdict));
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
        record_poll(o.to.id);
        const bool waits = poll->wait.count() > 0;
        if (poll->direct || (!waits && should_call_immediately()))
        {
            queue_local_call(std::move(o));
            return;
        }
    }
    waiting_orders.push_back(std::move(o));
    schedule_flush();
}

/// The first polls of a term renew leases that are close to their end. While no relays are
/// connected, this node makes as many of these polls as it can handle; the others wait for the
/// relays.
bool pool_state::should_call_immediately() const
{
    return (!relays_needed || is_waiting_for_connections()) &&
           recent_local_calls() < settings.max_local_calls;
}

/// All orders of one iteration of the event loop are sent together.
void pool_state::schedule_flush()
{
    if (flush_scheduled)
    {
        return;
    }
    flush_scheduled = true;
    time.post(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->flush_scheduled = false;
                self->flush();
            }
        });
}

void pool_state::record_poll(const std::string& id)
{
    polled_at[id] = clock.elapsed;
    if (!relays_needed && polled_at.size() >= settings.min_runners)
    {
        relays_needed = true;
        connect_wait_until = clock.elapsed + settings.connect_wait;
        connect_due();
    }
}

bool pool_state::is_waiting_for_connections() const
{
    if (!active || !relays_needed || clock.elapsed >= connect_wait_until)
    {
        return false;
    }
    if (!relay_list_known)
    {
        return true;
    }
    std::size_t ready = 0;
    bool connecting = false;
    for (const auto& [member, r] : relays)
    {
        ready += r.state == relay_state::ready ? 1U : 0U;
        connecting = connecting || !r.connection_attempted || r.state == relay_state::connecting;
    }
    const auto enough = settings.sufficient_relay_share * static_cast<double>(relays.size());
    return connecting && static_cast<double>(ready) < enough;
}

void pool_state::flush()
{
    if (is_waiting_for_connections())
    {
        return; // a tick or the end of the last connect() calls flush() again
    }
    if (!parts.may_send())
    {
        end_waiting_orders();
        return;
    }
    for (auto& it : std::exchange(waiting_orders, {}))
    {
        assign_order(std::move(it));
    }
    for (auto& [member, r] : relays)
    {
        send_orders(r);
    }
}

/// The orders of a previous coordinator would be refused because of their fencing token; not
/// sending them saves the calls.
void pool_state::end_waiting_orders()
{
    for (const auto& it : std::exchange(waiting_orders, {}))
    {
        end_as_not_sent(it);
    }
    for (const auto& it : std::exchange(waiting_local_orders, {}))
    {
        end_as_not_sent(it);
    }
}

void pool_state::end_as_not_sent(const waiting_order& o)
{
    const ports::runner_answer refused{runner_verdict::not_sent, -1};
    if (const auto* const poll = std::get_if<std::function<void(ports::poll_answer)>>(&o.done))
    {
        (*poll)({refused, {}, {}});
        return;
    }
    std::get<std::function<void(ports::runner_answer)>>(o.done)(refused);
}

void pool_state::assign_order(waiting_order o)
{
    auto* const r = route(o);
    if (r == nullptr)
    {
        queue_local_call(std::move(o));
        return;
    }
    const auto number = ++last_number;
    const auto* const poll = std::get_if<ports::poll_order>(&o.body);
    const auto timeout =
        poll != nullptr ? poll->wait + settings.poll_timeout_margin : settings.order_timeout;
    order_in_flight it;
    it.member = r->endpoint.member;
    it.runner = o.to.id;
    it.done = std::move(o.done);
    it.deadline = clock.elapsed + timeout;
    orders_in_flight.emplace(number, std::move(it));
    r->orders.push_back({number, std::move(o.to), std::move(o.body)});
}

void pool_state::queue_local_call(waiting_order o)
{
    waiting_local_orders.push_back(std::move(o));
    start_local_calls();
}

std::size_t pool_state::recent_local_calls() const
{
    const auto since = time.now() - settings.slow_call_threshold;
    const auto end = std::find_if(local_calls.rbegin(),
        local_calls.rend(),
        [&](const auto& it) { return it.second < since; });
    return static_cast<std::size_t>(std::distance(local_calls.rbegin(), end));
}

void pool_state::start_local_calls()
{
    if (starting_local_calls)
    {
        return; // a callback was called during call_runner(); the outer loop continues
    }
    starting_local_calls = true;
    while (!waiting_local_orders.empty() && recent_local_calls() < settings.max_local_calls)
    {
        auto it = std::move(waiting_local_orders.front());
        waiting_local_orders.pop_front();
        if (parts.may_send())
        {
            call_runner(std::move(it));
        }
        else
        {
            end_as_not_sent(it);
        }
    }
    starting_local_calls = false;
}

void pool_state::call_runner(waiting_order o)
{
    const auto number = ++last_local_call_number;
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
                add(self->local_verdicts, runner_answer_of(it).verdict);
                self->local_calls.erase(number);
            }
            done(a);
            if (self)
            {
                self->start_local_calls();
            }
        };
    };
    using plain = std::function<void(ports::runner_answer)>;
    if (auto* const poll = std::get_if<ports::poll_order>(&o.body))
    {
        auto done = std::get<std::function<void(ports::poll_answer)>>(std::move(o.done));
        parts.local_runners.poll(o.to, *poll, counted(std::move(done)));
        return;
    }
    auto done = counted(std::get<plain>(std::move(o.done)));
    if (auto* const start = std::get_if<ports::start_order>(&o.body))
    {
        parts.local_runners.start(o.to, std::move(*start), std::move(done));
    }
    else if (auto* const stop = std::get_if<ports::stop_order>(&o.body))
    {
        parts.local_runners.stop(o.to, std::move(*stop), std::move(done));
    }
    else
    {
        parts.local_runners.throttle(
            o.to, std::get<ports::throttle_order>(std::move(o.body)), std::move(done));
    }
}

void pool_state::send_orders(relay_entry& r)
{
    auto orders = std::exchange(r.orders, {});
    order_batch part;
    part.term_token = term_token;
    std::size_t bytes = 0;
    for (auto& it : orders)
    {
        const auto more = max_encoded_size(it);
        if (bytes + more > max_batch_bytes && !part.orders.empty())
        {
            send_batch(r, part);
            part.orders.clear();
            bytes = 0;
        }
        bytes += more;
        part.orders.push_back(std::move(it));
    }
    if (!part.orders.empty())
    {
        send_batch(r, part);
    }
}

void pool_state::send_batch(relay_entry& r, const order_batch& part)
{
    const auto connection = r.connection;
    if (!connection)
    {
        // The relay was lost after the orders were assigned to it; disconnect() has already ended
        // the orders.
        return;
    }
    for (const auto& it : part.orders)
    {
        const auto found = orders_in_flight.find(it.number);
        if (found != orders_in_flight.end())
        {
            found->second.framed = true;
            found->second.bytes_queued_before = connection->queued_bytes();
        }
    }
    r.last_sent = clock.elapsed;
    connection->send(encode(part));
}

void pool_state::handle_frame(const std::string& member, std::string_view frame)
{
    if (const auto r = relays.find(member); r != relays.end())
    {
        record_heard(r->second);
    }
    if (frame.empty())
    {
        return;
    }
    const auto read = decode_answers(frame);
    if (!core::is_ok(read))
    {
        handle_lost_relay(member, "bad frame: " + core::failure(read).message);
        return;
    }
    const auto& batch = core::value(read);
    const auto r = relays.find(member);
    if (batch.reads_term_token && r != relays.end())
    {
        r->second.reads_term_token = true;
    }
    if (batch.leaving && r != relays.end() && !r->second.leaving)
    {
        r->second.leaving = true;
        remove_relay(routes, member);
        parts.tel.log(ports::log_level::info, "relay_leaving", {{"relay", member}});
    }
    for (const auto& it : batch.answers)
    {
        handle_answer(it, member);
    }
}

void pool_state::handle_answer(const answer& a, const std::string& member)
{
    const auto found = orders_in_flight.find(a.number);
    if (found == orders_in_flight.end() || found->second.member != member)
    {
        return; // timed out; the callback has already been called
    }
    if (runner_answer_of(a).verdict == runner_verdict::unknown)
    {
        avoid_relay(found->second);
    }
    const auto done = std::move(found->second.done);
    orders_in_flight.erase(found);
    add(relayed_verdicts, runner_answer_of(a).verdict);
    if (const auto* const plain = std::get_if<std::function<void(ports::runner_answer)>>(&done))
    {
        (*plain)(runner_answer_of(a));
        return;
    }
    ports::poll_answer complete_answer;
    complete_answer.call = runner_answer_of(a);
    if (const auto* const rows = std::get_if<ports::poll_answer>(&a.body))
    {
        complete_answer = *rows;
    }
    else if (complete_answer.call.verdict == runner_verdict::done)
    {
        // An answer without rows would make all runs seem to be missing.
        complete_answer.call.verdict = runner_verdict::unknown;
    }
    std::get<std::function<void(ports::poll_answer)>>(done)(complete_answer);
}

void pool_state::end_order(std::uint64_t number, runner_verdict verdict)
{
    const auto found = orders_in_flight.find(number);
    if (found != orders_in_flight.end())
    {
        handle_answer(
            {number, ports::runner_answer{verdict, -1}}, std::string(found->second.member));
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

void pool::begin(std::int64_t token)
{
    state_->begin(token);
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
