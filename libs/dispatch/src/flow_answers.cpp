#include "flow_answers.hpp"

#include "dispatch/dispatcher.hpp"

#include <utility>

namespace camphorhitch::dispatch
{

namespace
{

constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_other_body = 422;
constexpr int status_too_many = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;
constexpr std::int64_t ms_per_second = 1000;

void set_outcome(ports::http_response& response, caller_outcome outcome)
{
    response.fields.emplace_back(
        std::string{fields::outcome}, std::string{core::name_of(caller_outcome_names, outcome)});
}

/// Rounded up: a caller that comes back too early is refused again.
std::string in_seconds(core::millis it)
{
    return std::to_string((it.count() + ms_per_second - 1) / ms_per_second);
}

int status_of(const std::string& reason)
{
    switch (core::value_of(refusal_names, reason).value_or(refusal::not_ready))
    {
    case refusal::queue_full:
    case refusal::deadline:
    case refusal::retry_budget:
        return status_too_many;
    case refusal::expired:
        return status_timeout;
    case refusal::no_target:
    case refusal::given_up:
    case refusal::not_ready:
        break;
    }
    return status_unavailable;
}

} // namespace

answer_caller own_answer(int status,
    caller_outcome outcome,
    core::millis retry_after,
    const std::string& reason,
    const std::string& text)
{
    answer_caller out;
    out.outcome = outcome;
    out.retry_after = retry_after;
    out.reason = reason;
    out.response.status = status;
    out.response.fields.emplace_back("Content-Type", "text/plain");
    out.response.fields.emplace_back(std::string{fields::reason}, reason);
    set_outcome(out.response, outcome);
    if (retry_after.count() > 0)
    {
        out.response.fields.emplace_back(std::string{fields::retry_after}, in_seconds(retry_after));
    }
    out.response.body = text + "\n";
    return out;
}

answer_caller not_run_answer(
    const std::string& reason, core::millis retry_after, const sender_settings& settings)
{
    const auto wait = retry_after.count() > 0 ? retry_after : settings.retry_after;
    return own_answer(
        status_of(reason), caller_outcome::not_run, wait, reason, "Refused; it was not run.");
}

answer_caller target_answer(ports::http_response response)
{
    answer_caller out;
    out.outcome = caller_outcome::answered;
    out.response = std::move(response);
    out.reason = "target_answer";
    set_outcome(out.response, out.outcome);
    return out;
}

answer_caller remembered_answer(const ports::claim_entry& entry)
{
    if (!entry.answer_kept)
    {
        auto out = own_answer(status_gone,
            caller_outcome::answered,
            core::millis{0},
            "answer_not_kept",
            "It ran; its answer was too large to be remembered.");
        out.response.fields.emplace_back(
            std::string{fields::replayed_status}, std::to_string(entry.status));
        return out;
    }
    auto out = target_answer({entry.status, entry.fields, entry.body});
    out.response.fields.emplace_back(std::string{fields::replayed}, "true");
    out.reason = "remembered_answer";
    return out;
}

answer_caller not_sent_answer(int status, core::millis retry_after, const std::string& reason)
{
    auto out = own_answer(status,
        caller_outcome::unknown,
        retry_after,
        reason,
        "This call was not sent; whether an earlier one with its key ran is not known.");
    out.response.fields.emplace_back(std::string{fields::attempt}, "not-sent");
    return out;
}

answer_caller claim_answer(const ports::claim_reply& reply, const sender_settings& settings)
{
    const auto wait = reply.retry_after.count() > 0 ? reply.retry_after : settings.retry_after;
    switch (reply.verdict)
    {
    case ports::claim_verdict::other_body:
        return own_answer(status_other_body,
            caller_outcome::not_run,
            core::millis{0},
            "key_reused",
            "The idempotency key was used for another request; this one was not run.");
    case ports::claim_verdict::full:
        return own_answer(status_unavailable,
            caller_outcome::not_run,
            wait,
            "keys_full",
            "There is no room to remember one more idempotency key.");
    case ports::claim_verdict::quarantined:
        return not_sent_answer(status_unavailable, wait, "key_quarantined");
    case ports::claim_verdict::known:
        break;
    default:
        return not_sent_answer(status_unavailable, wait, "key_holders_unreachable");
    }
    if (reply.entry.state == ports::claim_state::unknown)
    {
        return own_answer(status_bad_gateway,
            caller_outcome::unknown,
            core::millis{0},
            "key_unknown",
            "An earlier call with this key may have run; it will not run again.");
    }
    return not_sent_answer(status_conflict, wait, "key_in_use");
}

} // namespace camphorhitch::dispatch
