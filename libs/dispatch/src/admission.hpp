/// \file
/// Admission of permit requests to the queues: bounded queues, deadlines that can be met, and the
/// retry budget.
#pragma once

#include "dispatch/dispatcher.hpp"

namespace camphorhitch::dispatch
{

/// The decision on a new permit request.
struct admission
{
    std::optional<refusal> refused; ///< nullopt: admitted
    core::millis retry_after{0};    ///< valid for a refusal
};

/// Decides on a new permit request. The request may use up a token of the retry budget.
admission admit(pool_dispatcher& d, const ports::permit_request& request, core::mono_time now);

/// \return the expected wait of a request with \p ahead other requests of its class in front of it.
core::micros expected_wait(const pool_dispatcher& d, ports::request_class klass, std::size_t ahead);

/// \return the expected run time of a request of this class: the measured mean, or \p declared
/// while nothing has been measured; 0: not known.
core::micros expected_service(
    const pool_dispatcher& d, ports::request_class klass, core::millis declared);

/// \return how long a slot stays taken after the connection of its request was lost.
core::micros expected_run_after_disconnect(
    const pool_dispatcher& d, std::optional<ports::request_class> klass);

/// Records the wait of a request that is granted now, for expected_wait().
void record_wait(pool_dispatcher& d, const waiting_request& request, core::mono_time now);

/// \return \p wait, clamped to the bounds of Retry-After.
core::millis bounded_retry_after(const pool_dispatcher& d, core::micros wait);

} // namespace camphorhitch::dispatch
