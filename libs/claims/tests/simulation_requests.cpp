#include "simulation_internal.hpp"

namespace camphorhitch::claims::testing
{

void simulation::execute(process& p, const claim_actions& actions)
{
    for (const auto& it : actions)
    {
        std::visit([&](const auto& action) { execute_action(p, action); }, it);
    }
}

void simulation::execute_action(process& p, const reply_claim& it)
{
    p.claim_tickets.extract(it.ticket).mapped()(it.reply);
}

void simulation::execute_action(process& p, const reply_finish& it)
{
    p.finish_tickets.extract(it.ticket).mapped()(it.reply);
}

void simulation::execute_action(process& p, const send_copy& it)
{
    const auto serve = [this, it](process& callee, const auto& reply)
    {
        reply(on_copy(callee.claims, it.copy, network_.now()));
    };
    const auto done = [this, &p, it](peer_status status, ports::ack ack)
    {
        execute(p, on_copy_result(p.claims, it.number, status, ack, is_fresh(p)));
    };
    call<ports::ack>(p, it.to, serve, done);
}

void simulation::execute_action(process& p, const send_pull& it)
{
    const auto serve = [this, it](process& callee, const auto& reply)
    {
        reply(on_pull(callee.claims, it.pull, network_.now()));
    };
    const auto done = [this, &p, it](peer_status status, const ports::slot_pull_reply& reply)
    {
        execute(p, on_pull_result(p.claims, it, status, reply, network_.now()));
    };
    call<ports::slot_pull_reply>(p, it.to, serve, done);
}

void simulation::submit(process& p, const std::string& key, int body)
{
    const auto number = ++p.last_ticket;
    auto& it = p.attempts[number];
    it.body = body;
    it.arrived = network_.now();
    it.a.key = key;
    it.a.body_hash = static_cast<std::uint64_t>(body);
    it.a.executor = membership::process_name(p.self);
    it.a.number = number;
    it.a.deadline = network_.now() + millis{2500};
    send_claim(p, number);
}

const member_record* simulation::first_holder(const process& p, const std::string& key)
{
    const auto slot = membership::slot_of_key(key);
    return membership::claim_holders(p.claims.roster.members, slot).first;
}

void simulation::send_claim(process& p, std::uint64_t number)
{
    const auto& a = p.attempts.at(number).a;
    const auto* first = first_holder(p, a.key);
    if (a.phase == attempt_phase::closed)
    {
        return;
    }
    const auto done = [this, &p, number, started = network_.now()](
                          peer_status status, const ports::claim_reply& reply)
    {
        auto& it = p.attempts.at(number).a;
        handle_claim_step(
            p, number, on_claim_reply(it, executor_, status, reply, started, network_.now()));
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
        const auto now = network_.now();
        execute(callee, on_claim(callee.claims, ticket, request, is_fresh(callee), now));
    };
    call<ports::claim_reply>(p, *first, serve, done);
}

void simulation::handle_claim_step(process& p, std::uint64_t number, const claim_step& next)
{
    if (const auto* again = std::get_if<retry_claim>(&next))
    {
        network_.schedule(
            again->delay, [this, &p, number] { send_claim(p, number); }, &p.condition);
    }
    else if (std::holds_alternative<claim_granted>(next))
    {
        const auto wait =
            millis{network_.chance(10) ? network_.random_below(900) : network_.random_below(30)};
        network_.schedule(
            wait, [this, &p, number] { send(p, number); }, &p.condition);
    }
    else if (const auto* reported = std::get_if<outcome_report>(&next))
    {
        report_outcome(p, number, *reported);
    }
    else
    {
        send_finish(p, number);
    }
}

void simulation::send(process& p, std::uint64_t number)
{
    auto& it = p.attempts.at(number);
    const auto now = network_.now();
    if (it.a.phase != attempt_phase::granted)
    {
        return;
    }
    if (network_.chance(8) || now >= it.a.deadline)
    {
        report_outcome(p, number, give_up(it.a, executor_, outcome_reason::given_up, now));
        return;
    }
    if (!may_send(it.a, executor_, is_fresh(p), now))
    {
        network_.schedule(
            millis{50}, [this, &p, number] { send_claim(p, number); }, &p.condition);
        return;
    }
    begin_send(it.a, executor_, is_fresh(p), now);
    if (network_.chance(3))
    {
        on_target_result(it.a, {}, now);
        network_.schedule(
            millis{5}, [this, &p, number] { send(p, number); }, &p.condition);
        return;
    }
    ports::http_outcome end;
    end.end = network_.chance(12) ? ports::call_end::interrupted : ports::call_end::answered;
    end.response.body = "answer" + std::to_string(++last_answer_number_);
    result_.observed.sent.push_back({it.a.key, it.body, name_of(it.a), now, end.response.body});
    const auto ends = [this, &p, number, end]
    {
        report_outcome(p, number, *on_target_result(p.attempts.at(number).a, end, network_.now()));
    };
    network_.schedule(
        millis{network_.chance(10) ? network_.random_below(2500) : network_.random_below(80)},
        ends,
        &p.condition);
}

std::string simulation::name_of(const attempt& a)
{
    return a.executor + "#" + std::to_string(a.number);
}

void simulation::report_outcome(process& p, std::uint64_t number, const outcome_report& reported)
{
    const auto& it = p.attempts.at(number);
    result_.observed.reported.push_back({it.a.key,
        it.body,
        name_of(it.a),
        it.arrived,
        network_.now(),
        reported.kind,
        reported.reason,
        reported.response.body});
    ++result_.counts.reasons[static_cast<int>(reported.reason)];
    const bool repeats =
        reported.kind != outcome::answered && reported.reason != outcome_reason::other_body;
    if (repeats && network_.chance(70))
    {
        const auto again = [this, key = it.a.key, body = it.body]
        {
            send_caller_request(key, body);
        };
        network_.schedule(millis{network_.random_below(1500)}, again);
    }
    send_finish(p, number);
}

void simulation::send_finish(process& p, std::uint64_t number)
{
    const auto& a = p.attempts.at(number).a;
    const auto finish = next_finish_message(a, executor_, p.claims.roster.epoch, network_.now());
    const auto* first = first_holder(p, a.key);
    if (!finish || first == nullptr)
    {
        return;
    }
    const auto serve = [this, finish = *finish](process& callee, const auto& reply)
    {
        const auto ticket = ++callee.last_ticket;
        callee.finish_tickets[ticket] = reply;
        execute(callee, on_finish(callee.claims, ticket, finish, network_.now()));
    };
    const auto done = [this, &p, number](peer_status status, ports::ack ack)
    {
        on_finish_ack(p.attempts.at(number).a, {status == peer_status::ok && ack.accepted});
        network_.schedule(
            executor_.finish_retry_delay,
            [this, &p, number] { send_finish(p, number); },
            &p.condition);
    };
    call<ports::ack>(p, *first, serve, done);
}

void simulation::send_caller_request(const std::string& key, int body)
{
    if (auto* p = pick_process(network_.random_below(1000)))
    {
        network_.schedule(
            millis{0}, [this, p, key, body] { submit(*p, key, body); }, &p->condition);
    }
}

void simulation::generate_caller_requests()
{
    const auto newest = static_cast<int>(network_.now().time_since_epoch() / key_interval);
    const auto age = network_.random_below(std::min(newest + 1, network_.chance(30) ? 100 : 8));
    const auto key = "key" + std::to_string(newest - age);
    const int body = network_.chance(6) ? 1 : 0;
    for (int copies = network_.chance(30) ? 2 + network_.random_below(2) : 1; copies > 0; --copies)
    {
        send_caller_request(key, body);
    }
    network_.schedule(millis{network_.random_below(120)}, [this] { generate_caller_requests(); });
}

} // namespace camphorhitch::claims::testing
