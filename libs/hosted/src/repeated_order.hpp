/// \file
/// Repeats an order to a runner while its answer is overdue.
///
/// Answers to orders may be lost, and orders may be carried out seconds late. If the coordinator
/// waited for a lost answer until the call's timeout, the state of the task would be unknown for
/// seconds and its caller would be answered late. Starts and stops are idempotent: a runner that
/// has the run, or has ended it, ignores a further order with the same run number. So a repeat on
/// another connection, which most likely is answered, settles both sends.
#pragma once

#include "term.hpp"

#include <functional>
#include <memory>

namespace camphorhitch::hosted
{

/// Time after which an answer is overdue. A healthy runner answers an order within some 10 ms, a
/// slow one within this time.
inline constexpr core::millis answer_overdue_after{250};
/// A timer that fires later than this shows that this node is behind: the answer may have arrived
/// and be unread.
inline constexpr core::millis max_timer_delay{50};

/// Sends one order once, and calls its argument with the answer.
using order_sender = std::function<void(std::function<void(ports::runner_answer)>)>;

/// Sends the order, and repeats it up to two times while no send has been answered in time. An
/// answer that the order is done, that the runner has seen a newer fencing token, or that another
/// incarnation of the runner is at the address is conclusive and reported at once. A refusal proves
/// only that its own send did nothing, so it is reported only when no other send is unanswered.
/// \param t term that sends; no repeat is sent after its end. \p done must accept an answer that
/// arrives after that
/// \param done called exactly once, with the resulting answer, and whether all sends have been
///   answered
void send_repeated(const std::shared_ptr<term>& t,
    order_sender send,
    std::function<void(ports::runner_answer, bool)> done);

} // namespace camphorhitch::hosted
