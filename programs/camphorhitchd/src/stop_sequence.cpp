#include "stop_sequence.hpp"

#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis look_again{50};
constexpr core::millis lease_patience{1000};

} // namespace

stop_sequence::stop_sequence(
    context& c, membership_service& members, claim_service& claims, request_service& requests)
    : context_(c), members_(members), claims_(claims), requests_(requests)
{
}

void stop_sequence::begin(std::function<void()> ended)
{
    if (std::exchange(begun_, true))
    {
        return;
    }
    ended_ = std::move(ended);
    context_.scheduler.after(context_.rounds.stop_bound, [this] { finish("bound_passed"); });
    requests_.stop([this] { leave(); });
}

void stop_sequence::leave()
{
    context_.log(ports::log_level::info, "requests_finished", {});
    if (!members_.in_roster())
    {
        wait_for_hand_over();
        return;
    }
    members_.leave([this] { wait_for_hand_over(); });
}

/// Ending before the new holders have our slots would leave one copy of each of them; the loss of
/// one more member would then put its keys into quarantine.
void stop_sequence::wait_for_hand_over()
{
    if (over_)
    {
        return;
    }
    if (claims_.handed_over())
    {
        finish("handed_over");
        return;
    }
    context_.scheduler.after(look_again, [this] { wait_for_hand_over(); });
}

void stop_sequence::finish(const char* why)
{
    if (std::exchange(over_, true))
    {
        return;
    }
    context_.log(ports::log_level::info, "stop_ended", {{"why", why}});
    context_.scheduler.after(lease_patience, [this] { answer_last(); });
    members_.give_up_lease([this] { answer_last(); });
}

void stop_sequence::answer_last()
{
    if (!std::exchange(answering_, true))
    {
        requests_.answer_last([this] { std::exchange(ended_, [] {})(); });
    }
}

} // namespace camphorhitch::daemon
