/// \file
/// Sends an order to a runner again while its answer is overdue.
///
/// Answers to orders get lost, and orders are carried out seconds late. Waited for to its timeout,
/// a lost answer leaves its task unsettled for seconds, and the caller behind it is late. Starts
/// and stops are idempotent: a runner that has the run, or has ended it, does nothing more for the
/// same number. So a repeat on another connection, whose answer most likely comes, settles both.
#pragma once

#include "term.hpp"

#include <functional>
#include <memory>

namespace camphorhitch::hosted
{

/// A runner that is well answers an order within some 10 ms, a slow one within this.
inline constexpr core::millis answer_is_near{250};
/// A timer that fires so late shows that this node is behind: the answer may lie unread here.
inline constexpr core::millis timer_is_late{50};

/// Sends one order once, and hands its answer over.
using order_sender = std::function<void(std::function<void(ports::runner_answer)>)>;

/// Sends the order, and up to two times more while no try was answered in time. A try that says
/// "done", or that another owner or another life stands there, counts at once. A refusal proves
/// that its own try did nothing, so it counts only when no other try is left unanswered.
/// \param t its end ends the repeats; \p done must bear an answer that comes later
/// \param done gets the one answer
void send_repeated(const std::shared_ptr<term>& t,
    order_sender send,
    std::function<void(ports::runner_answer)> done);

} // namespace camphorhitch::hosted
