#include "claim_service.hpp"

#include "membership/owners.hpp"

#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis tick_interval{100};

} // namespace

claim_service::claim_service(
    context& c, membership_service& members, claims::claim_settings settings)
    : context_(c), members_(members)
{
    table_.settings = settings;
    table_.self = c.self;
    context_.run_every(tick_interval,
        [this] { execute_actions(claims::on_tick(table_, context_.scheduler.now())); });
}

void claim_service::on_settings(const claims::claim_settings& settings)
{
    table_.settings = settings;
}

void claim_service::on_roster()
{
    execute_actions(claims::on_roster(table_, members_.roster(), context_.scheduler.now()));
}

const model::member_record* claim_service::first_holder(const std::string& key) const
{
    const auto slot = membership::slot_of_key(key);
    return membership::claim_holders(members_.roster().members, slot).first;
}

void claim_service::request_claim(const ports::claim_request& request, claim_callback done)
{
    const auto* to = first_holder(request.key);
    if (to == nullptr)
    {
        done(ports::peer_status::ok, {});
        return;
    }
    if (membership::same_process(*to, context_.self))
    {
        on_claim(request,
            [done = std::move(done)](const ports::claim_reply& it)
            { done(ports::peer_status::ok, it); });
        return;
    }
    context_.peers.claim(to->address, request, std::move(done));
}

void claim_service::on_claim(
    const ports::claim_request& request, std::function<void(ports::claim_reply)> done)
{
    const auto ticket = next_ticket_++;
    claim_replies_[ticket] = std::move(done);
    execute_actions(
        claims::on_claim(table_, ticket, request, members_.fresh(), context_.scheduler.now()));
}

void claim_service::on_finish(
    const ports::claim_finish& message, std::function<void(ports::ack)> done)
{
    const auto ticket = next_ticket_++;
    finish_replies_[ticket] = std::move(done);
    execute_actions(claims::on_finish(table_, ticket, message, context_.scheduler.now()));
}

ports::ack claim_service::on_copy(const ports::claim_copy& copy)
{
    return claims::on_copy(table_, copy, context_.scheduler.now());
}

ports::slot_pull_reply claim_service::on_pull(const ports::slot_pull& pull)
{
    return claims::on_pull(table_, pull, context_.scheduler.now());
}

void claim_service::finish_claim(const ports::claim_finish& message, finish_callback done)
{
    const auto* to = first_holder(message.key);
    if (to == nullptr)
    {
        done(ports::peer_status::unreachable, {});
        return;
    }
    if (membership::same_process(*to, context_.self))
    {
        on_finish(message,
            [done = std::move(done)](ports::ack reply) { done(ports::peer_status::ok, reply); });
        return;
    }
    context_.peers.finish_claim(to->address, message, std::move(done));
}

void claim_service::execute_actions(const claims::claim_actions& actions)
{
    for (const auto& it : actions)
    {
        if (const auto* reply = std::get_if<claims::reply_claim>(&it))
        {
            const auto found = claim_replies_.find(reply->ticket);
            if (found != claim_replies_.end())
            {
                auto done = std::move(found->second);
                claim_replies_.erase(found);
                done(reply->reply);
            }
        }
        else if (const auto* ack = std::get_if<claims::reply_finish>(&it))
        {
            const auto found = finish_replies_.find(ack->ticket);
            if (found != finish_replies_.end())
            {
                auto done = std::move(found->second);
                finish_replies_.erase(found);
                done(ack->reply);
            }
        }
        else if (const auto* copy = std::get_if<claims::send_copy>(&it))
        {
            context_.peers.copy_claim(copy->to.address,
                copy->copy,
                [this, number = copy->number](ports::peer_status status, ports::ack reply) {
                    execute_actions(
                        claims::on_copy_result(table_, number, status, reply, members_.fresh()));
                });
        }
        else if (const auto* pull = std::get_if<claims::send_pull>(&it))
        {
            context_.peers.pull_slots(pull->to.address,
                pull->pull,
                [this, asked = *pull](
                    ports::peer_status status, const ports::slot_pull_reply& reply)
                {
                    execute_actions(claims::on_pull_result(
                        table_, asked, status, reply, context_.scheduler.now()));
                });
        }
    }
}

const claims::claim_table& claim_service::table() const
{
    return table_;
}

bool claim_service::handover_complete() const
{
    return claims::is_handed_over(table_);
}

} // namespace camphorhitch::daemon
