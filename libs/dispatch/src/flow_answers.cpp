#include "flow_answers.hpp"

#include "dispatch/dispatcher.hpp"

#include <utility>

namespace camphorhitch::dispatch
{

namespace
{

constexpr int status_conflict = 409;
constexpr int status_other_body = 422;
constexpr int status_too_many = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;
constexpr std::int64_t ms_per_second = 1000;
constexpr std::string_view remembered_field = "Camphorhitch-Remembered";

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
    case refusal::retry_budget:
        return status_too_many;
    case refusal::deadline:
        return status_timeout;
    case refusal::no_target:
    case refusal::given_up:
    case refusal::not_ready:
        break;
    }
    return status_unavailable;
}

} // namespace

answer_caller own_answer(
    int status, caller_outcome outcome, core::millis retry_after, const std::string& detail)
{
    answer_caller out;
    out.outcome = outcome;
    out.retry_after = retry_after;
    out.detail = detail;
    out.response.status = status;
    out.response.fields.emplace_back("Content-Type", "text/plain");
    set_outcome(out.response, outcome);
    if (retry_after.count() > 0)
    {
        out.response.fields.emplace_back(std::string{fields::retry_after}, in_seconds(retry_after));
    }
    out.response.body = detail + "\n";
    return out;
}

answer_caller not_run_answer(
    const std::string& reason, core::millis retry_after, const sender_settings& settings)
{
    const auto wait = retry_after.count() > 0 ? retry_after : settings.retry_after;
    return own_answer(status_of(reason), caller_outcome::not_run, wait, reason);
}

answer_caller target_answer(ports::http_response response)
{
    answer_caller out;
    out.outcome = caller_outcome::answered;
    out.response = std::move(response);
    out.detail = "target_answer";
    set_outcome(out.response, out.outcome);
    return out;
}

answer_caller remembered_answer(const ports::claim_entry& entry)
{
    if (!entry.answer_kept)
    {
        return own_answer(status_conflict,
            caller_outcome::answered,
            core::millis{0},
            "it ran and was answered with status " + std::to_string(entry.status) +
                "; the answer was too large to keep");
    }
    auto out = target_answer({entry.status, entry.fields, entry.body});
    out.response.fields.emplace_back(std::string{remembered_field}, "true");
    out.detail = "remembered_answer";
    return out;
}

answer_caller claim_answer(const ports::claim_reply& reply, const sender_settings& settings)
{
    switch (reply.verdict)
    {
    case ports::claim_verdict::other_body:
        return own_answer(status_other_body,
            caller_outcome::not_run,
            core::millis{0},
            "the idempotency key was used with another request");
    case ports::claim_verdict::full:
        return own_answer(status_unavailable,
            caller_outcome::not_run,
            settings.retry_after,
            "no room to remember the idempotency key");
    case ports::claim_verdict::quarantined:
        return own_answer(status_bad_gateway,
            caller_outcome::unknown,
            settings.quarantine_retry_after,
            "this attempt was not sent; whether an earlier one ran is not known");
    case ports::claim_verdict::known:
        return own_answer(status_bad_gateway,
            caller_outcome::unknown,
            core::millis{0},
            "an earlier attempt may have run; it will not run again");
    default:
        break;
    }
    // Not "not-run": an earlier attempt with this key may have run, and its holder wasn't heard.
    return own_answer(status_timeout,
        caller_outcome::unknown,
        settings.retry_after,
        "this attempt was not sent; whether an earlier one ran is not known");
}

} // namespace camphorhitch::dispatch
