/// \file
/// Whether a request may wait: retry budget, bounded queues, and deadlines that can be met.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

struct admission
{
    std::optional<refusal> refused;
    core::millis retry_after{0};
};

/// Decides on a new request. Spends the retry budget.
admission admit(pool_dispatcher& d, const ports::permit_request& request, core::mono_time now);

/// \return the wait that a request with \p ahead others of its class before it must expect.
core::micros expected_wait(const pool_dispatcher& d, ports::request_class klass, std::size_t ahead);

/// \return the time a request of this class is expected to run; 0: not known.
core::micros expected_service(
    const pool_dispatcher& d, ports::request_class klass, core::millis declared);

/// \return how long a slot is left alone after its call was cut.
core::micros expected_linger(const pool_dispatcher& d, std::optional<ports::request_class> klass);

void note_wait(pool_dispatcher& d, const waiting_request& request, core::mono_time now);

/// \return \p wait within the bounds for what callers are told.
core::millis bounded_retry_after(const pool_dispatcher& d, core::micros wait);

} // namespace camphorhitch::dispatch
