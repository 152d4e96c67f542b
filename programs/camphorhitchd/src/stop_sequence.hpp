/// \file
/// A graceful stop: refuses new requests, finishes those in flight, leaves the roster, hands over
/// the records of idempotency keys, revokes the lease, answers callers that are still connected,
/// and ends. Each step waits for a condition; a bound limits the time until the lease is revoked.
#pragma once

#include "claim_service.hpp"
#include "context.hpp"
#include "membership_service.hpp"
#include "request_service.hpp"

#include <functional>

namespace camphorhitch::daemon
{

/// Runs the steps of a graceful stop in order.
class stop_sequence
{
public:
    stop_sequence(
        context& c, membership_service& members, claim_service& claims, request_service& requests);

    /// Starts the stop; a second call has no effect.
    /// \param ended called once, when the stop is complete.
    void begin(std::function<void()> ended);

private:
    void leave();
    void wait_for_handover();
    void finish(const char* why);
    void drain_connections();

    context& context_;
    membership_service& members_;
    claim_service& claims_;
    request_service& requests_;
    std::function<void()> ended_;
    bool started_ = false;
    bool finished_ = false;
    bool draining_connections_ = false;
};

} // namespace camphorhitch::daemon
