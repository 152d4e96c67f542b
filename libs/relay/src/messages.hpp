/// \file
/// Messages between the coordinator and a relay, as plain values.
#pragma once

#include "ports/runners.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace camphorhitch::relay
{

/// An order to a runner, of one of four kinds.
using order_body =
    std::variant<ports::start_order, ports::stop_order, ports::throttle_order, ports::poll_order>;

/// One order and the runner that it is for.
struct order
{
    std::uint64_t number = 0; ///< unique on its connection
    ports::runner_ref to;     ///< without the zone, which a relay does not use
    order_body body;
};

/// The orders of one frame.
struct order_batch
{
    std::vector<order> orders;
    /// The coordinator's first fencing token. Orders to runners that started again have higher
    /// ones. 0: not stated, as by earlier versions.
    std::int64_t term_token = 0;
};

/// The answer to one order.
struct answer
{
    std::uint64_t number = 0; ///< number of the answered order
    /// The answer to a poll holds poll_answer; the answers to other orders hold runner_answer.
    std::variant<ports::runner_answer, ports::poll_answer> body;
};

/// The answers of one frame.
struct answer_batch
{
    std::vector<answer> answers;
    /// The relay accepts no further orders; orders in flight are still answered.
    bool leaving = false;
    /// In the first batch on a connection: the relay reads order_batch::term_token. An earlier
    /// version closes the connection when the tokens of its orders fall.
    bool reads_term_token = false;
};

/// \return the fencing token in the order.
inline std::int64_t fencing_token_of(const order_body& it)
{
    return std::visit([](const auto& o) { return o.fencing_token; }, it);
}

/// \return the result of the call to the runner.
inline const ports::runner_answer& runner_answer_of(const answer& it)
{
    const auto* const poll = std::get_if<ports::poll_answer>(&it.body);
    return poll != nullptr ? poll->call : std::get<ports::runner_answer>(it.body);
}

} // namespace camphorhitch::relay
