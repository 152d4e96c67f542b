/// \file
/// What goes between the coordinator and a relay, as plain values.
#pragma once

#include "ports/runners.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace camphorhitch::relay
{

using order_body =
    std::variant<ports::start_order, ports::stop_order, ports::throttle_order, ports::poll_order>;

struct order
{
    std::uint64_t number = 0; ///< unique on its connection
    ports::runner_ref to;     ///< without the zone, which a relay does not need
    order_body body;
};

struct order_batch
{
    std::vector<order> orders;
};

struct answer
{
    std::uint64_t number = 0; ///< of the order
    /// A poll's answer holds poll_answer, those of the other orders runner_answer.
    std::variant<ports::runner_answer, ports::poll_answer> body;
};

struct answer_batch
{
    std::vector<answer> answers;
    bool leaving = false; ///< the relay takes no new orders; those under way are still answered
};

/// \return the fencing token that the order carries.
inline std::int64_t token_of(const order_body& it)
{
    return std::visit([](const auto& o) { return o.fencing_token; }, it);
}

/// \return how the call to the runner ended.
inline const ports::runner_answer& call_of(const answer& it)
{
    const auto* const poll = std::get_if<ports::poll_answer>(&it.body);
    return poll != nullptr ? poll->call : std::get<ports::runner_answer>(it.body);
}

} // namespace camphorhitch::relay
