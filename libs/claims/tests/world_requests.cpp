#include "world_parts.hpp"

namespace camphorhitch::claims::testing
{

void world::act(process& p, const claim_actions& actions)
{
    for (const auto& it : actions)
    {
        std::visit([&](const auto& action) { act_one(p, action); }, it);
    }
}

void world::act_one(process& p, const reply_claim& it)
{
    p.claim_tickets.extract(it.ticket).mapped()(it.reply);
}

void world::act_one(process& p, const reply_finish& it)
{
    p.finish_tickets.extract(it.ticket).mapped()(it.reply);
}

void world::act_one(process& p, const send_copy& it)
{
    const auto serve = [this, it](process& callee, const auto& reply)
    {
        reply(on_copy(callee.claims, it.copy, bag_.now()));
    };
    const auto done = [this, &p, it](peer_status status, ports::ack ack)
    {
        act(p, on_copy_result(p.claims, it.number, status, ack, is_fresh(p)));
    };
    call<ports::ack>(p, it.to, serve, done);
}

void world::act_one(process& p, const send_pull& it)
{
    const auto serve = [this, it](process& callee, const auto& reply)
    {
        reply(on_pull(callee.claims, it.pull, bag_.now()));
    };
    const auto done = [this, &p, it](peer_status status, const ports::slot_pull_reply& reply)
    {
        act(p, on_pull_result(p.claims, it, status, reply, bag_.now()));
    };
    call<ports::slot_pull_reply>(p, it.to, serve, done);
}

void world::submit(process& p, const std::string& key, int body)
{
    const auto number = ++p.last_ticket;
    auto& it = p.attempts[number];
    it.body = body;
    it.arrived = bag_.now();
    it.a.key = key;
    it.a.body_hash = static_cast<std::uint64_t>(body);
    it.a.executor = membership::process_name(p.who);
    it.a.number = number;
    it.a.deadline = bag_.now() + millis{2500};
    ask(p, number);
}

const member_record* world::first_holder(const process& p, const std::string& key)
{
    const auto slot = membership::slot_of_key(key);
    return membership::claim_holders(p.claims.roster.members, slot).first;
}

void world::ask(process& p, std::uint64_t number)
{
    const auto& a = p.attempts.at(number).a;
    const auto* first = first_holder(p, a.key);
    if (a.phase == attempt_phase::closed)
    {
        return;
    }
    const auto done = [this, &p, number, started = bag_.now()](
                          peer_status status, const ports::claim_reply& reply)
    {
        auto& it = p.attempts.at(number).a;
        follow(p, number, on_claim_reply(it, executor_, status, reply, started, bag_.now()));
    };
    if (first == nullptr)
    {
        done(peer_status::refused, {});
        return;
    }
    const auto serve = [this, request = make_claim(a, p.claims.roster.epoch)](
                           process& callee, const auto& reply)
    {
        const auto ticket = ++callee.last_ticket;
        callee.claim_tickets[ticket] = reply;
        const auto now = bag_.now();
        act(callee, on_claim(callee.claims, ticket, request, is_fresh(callee), now));
    };
    call<ports::claim_reply>(p, *first, serve, done);
}

void world::follow(process& p, std::uint64_t number, const claim_step& next)
{
    if (const auto* again = std::get_if<ask_again>(&next))
    {
        bag_.at(
            again->delay, [this, &p, number] { ask(p, number); }, &p.alive);
    }
    else if (std::holds_alternative<proceed>(next))
    {
        const auto wait = millis{bag_.chance(10) ? bag_.draw(900) : bag_.draw(30)};
        bag_.at(
            wait, [this, &p, number] { send(p, number); }, &p.alive);
    }
    else if (const auto* told = std::get_if<outcome_report>(&next))
    {
        tell(p, number, *told);
    }
    else
    {
        tell_end(p, number);
    }
}

void world::send(process& p, std::uint64_t number)
{
    auto& it = p.attempts.at(number);
    const auto now = bag_.now();
    if (it.a.phase != attempt_phase::granted)
    {
        return;
    }
    if (bag_.chance(8) || now >= it.a.deadline)
    {
        tell(p, number, give_up(it.a, executor_, outcome_reason::given_up, now));
        return;
    }
    if (!may_send(it.a, executor_, is_fresh(p), now))
    {
        bag_.at(
            millis{50}, [this, &p, number] { ask(p, number); }, &p.alive);
        return;
    }
    begin_send(it.a, executor_, is_fresh(p), now);
    if (bag_.chance(3))
    {
        on_target_end(it.a, {}, now);
        bag_.at(
            millis{5}, [this, &p, number] { send(p, number); }, &p.alive);
        return;
    }
    ports::http_outcome end;
    end.end = bag_.chance(12) ? ports::call_end::interrupted : ports::call_end::answered;
    end.response.body = "answer" + std::to_string(++answers_);
    result_.seen.sent.push_back({it.a.key, it.body, name_of(it.a), now, end.response.body});
    const auto ends = [this, &p, number, end]
    {
        tell(p, number, *on_target_end(p.attempts.at(number).a, end, bag_.now()));
    };
    bag_.at(millis{bag_.chance(10) ? bag_.draw(2500) : bag_.draw(80)}, ends, &p.alive);
}

std::string world::name_of(const attempt& a)
{
    return a.executor + "#" + std::to_string(a.number);
}

void world::tell(process& p, std::uint64_t number, const outcome_report& told)
{
    const auto& it = p.attempts.at(number);
    result_.seen.told.push_back({it.a.key,
        it.body,
        name_of(it.a),
        it.arrived,
        bag_.now(),
        told.kind,
        told.reason,
        told.response.body});
    ++result_.counts.reasons[static_cast<int>(told.reason)];
    const bool repeats =
        told.kind != outcome::answered && told.reason != outcome_reason::other_body;
    if (repeats && bag_.chance(70))
    {
        const auto again = [this, key = it.a.key, body = it.body]
        {
            call_in(key, body);
        };
        bag_.at(millis{bag_.draw(1500)}, again);
    }
    tell_end(p, number);
}

void world::tell_end(process& p, std::uint64_t number)
{
    const auto& a = p.attempts.at(number).a;
    const auto finish = due_finish(a, executor_, p.claims.roster.epoch, bag_.now());
    const auto* first = first_holder(p, a.key);
    if (!finish || first == nullptr)
    {
        return;
    }
    const auto serve = [this, finish = *finish](process& callee, const auto& reply)
    {
        const auto ticket = ++callee.last_ticket;
        callee.finish_tickets[ticket] = reply;
        act(callee, on_finish(callee.claims, ticket, finish, bag_.now()));
    };
    const auto done = [this, &p, number](peer_status status, ports::ack ack)
    {
        on_finish_ack(p.attempts.at(number).a, {status == peer_status::ok && ack.accepted});
        bag_.at(
            executor_.finish_delay, [this, &p, number] { tell_end(p, number); }, &p.alive);
    };
    call<ports::ack>(p, *first, serve, done);
}

void world::call_in(const std::string& key, int body)
{
    if (auto* p = pick(bag_.draw(1000)))
    {
        bag_.at(
            millis{0}, [this, p, key, body] { submit(*p, key, body); }, &p->alive);
    }
}

void world::callers()
{
    const auto newest = static_cast<int>(bag_.now().time_since_epoch() / key_interval);
    const auto age = bag_.draw(std::min(newest + 1, bag_.chance(30) ? 100 : 8));
    const auto key = "key" + std::to_string(newest - age);
    const int body = bag_.chance(6) ? 1 : 0;
    for (int copies = bag_.chance(30) ? 2 + bag_.draw(2) : 1; copies > 0; --copies)
    {
        call_in(key, body);
    }
    bag_.at(millis{bag_.draw(120)}, [this] { callers(); });
}

} // namespace camphorhitch::claims::testing
