/// \file
/// Claims on idempotency keys: the claims that this member holds, and requests to the members that
/// hold other keys.
#pragma once

#include "claims/claim_table.hpp"
#include "context.hpp"
#include "membership_service.hpp"

#include <functional>
#include <unordered_map>
#include <vector>

namespace camphorhitch::daemon
{

/// Claim table of this process, and the exchange of claim messages with the other members.
class claim_service
{
public:
    using finish_callback = std::function<void(ports::peer_status, ports::ack)>;
    using claim_callback = std::function<void(ports::peer_status, ports::claim_reply)>;

    claim_service(context& c, membership_service& members, claims::claim_settings settings);

    /// Applies a newly adopted roster.
    void on_roster();
    /// Applies changed settings.
    void on_settings(const claims::claim_settings& settings);

    /// Requests a claim from the first holder of the key's slot, which may be this process.
    /// \param done called once. A status other than ok means that the holder did not answer.
    void request_claim(const ports::claim_request& request, claim_callback done);
    /// Reports the end of an attempt to the first holder, once. The request flow repeats the report
    /// until the holder acknowledges it.
    void finish_claim(const ports::claim_finish& message, finish_callback done);

    /// Handlers of messages from peers.
    void on_claim(
        const ports::claim_request& request, std::function<void(ports::claim_reply)> done);
    void on_finish(const ports::claim_finish& message, std::function<void(ports::ack)> done);
    ports::ack on_copy(const ports::claim_copy& copy);
    ports::slot_pull_reply on_pull(const ports::slot_pull& pull);

    /// \return the claim table of this process.
    const claims::claim_table& table() const;
    /// \return whether this process, once it has left the roster, may end without the loss of any
    /// slot's state.
    bool handover_complete() const;

private:
    void execute_actions(const claims::claim_actions& actions);
    const model::member_record* first_holder(const std::string& key) const;

    context& context_;
    membership_service& members_;
    claims::claim_table table_;
    std::uint64_t next_ticket_ = 1;
    std::unordered_map<std::uint64_t, std::function<void(ports::claim_reply)>> claim_replies_;
    std::unordered_map<std::uint64_t, std::function<void(ports::ack)>> finish_replies_;
};

} // namespace camphorhitch::daemon
