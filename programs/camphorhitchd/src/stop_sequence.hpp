/// \file
/// A graceful stop: refuse new requests, finish those in flight, leave the roster, hand over what
/// is remembered of idempotency keys, give the lease back, answer who is still connected, end. Each
/// step waits for a condition, and the whole for no longer than its bound.
#pragma once

#include "claim_service.hpp"
#include "context.hpp"
#include "membership_service.hpp"
#include "request_service.hpp"

#include <functional>

namespace camphorhitch::daemon
{

class stop_sequence
{
public:
    stop_sequence(
        context& c, membership_service& members, claim_service& claims, request_service& requests);

    /// \param ended called once; a second begin changes nothing.
    void begin(std::function<void()> ended);

private:
    void leave();
    void wait_for_hand_over();
    void finish(const char* why);
    void answer_last();

    context& context_;
    membership_service& members_;
    claim_service& claims_;
    request_service& requests_;
    std::function<void()> ended_;
    bool begun_ = false;
    bool over_ = false;
    bool answering_ = false;
};

} // namespace camphorhitch::daemon
