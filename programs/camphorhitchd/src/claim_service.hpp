/// \file
/// Claims on idempotency keys: what this member holds, and the way to the holders of every key.
#pragma once

#include "claims/claim_table.hpp"
#include "context.hpp"
#include "membership_service.hpp"

#include <functional>
#include <unordered_map>
#include <vector>

namespace camphorhitch::daemon
{

class claim_service
{
public:
    using finish_callback = std::function<void(ports::peer_status, ports::ack)>;
    using claim_callback = std::function<void(ports::peer_status, ports::claim_reply)>;

    claim_service(context& c, membership_service& members, claims::claim_settings settings);

    void on_roster();
    void on_settings(const claims::claim_settings& settings);

    /// Asks the first holder of the key's slot, here or elsewhere.
    void ask(const ports::claim_request& request, claim_callback done);
    /// Tells the first holder how an attempt ended, once; the flow repeats it until it was heard.
    void finish(const ports::claim_finish& message, finish_callback done);

    /// A peer's messages.
    void on_claim(
        const ports::claim_request& request, std::function<void(ports::claim_reply)> done);
    void on_finish(const ports::claim_finish& message, std::function<void(ports::ack)> done);
    ports::ack on_copy(const ports::claim_copy& copy);
    ports::slot_pull_reply on_pull(const ports::slot_pull& pull);

    const claims::claim_table& table() const;
    bool handed_over() const;

private:
    void act(const claims::claim_actions& actions);
    const model::member_record* holder(const std::string& key) const;

    context& context_;
    membership_service& members_;
    claims::claim_table table_;
    std::uint64_t next_ticket_ = 1;
    std::unordered_map<std::uint64_t, std::function<void(ports::claim_reply)>> claim_replies_;
    std::unordered_map<std::uint64_t, std::function<void(ports::ack)>> finish_replies_;
};

} // namespace camphorhitch::daemon
