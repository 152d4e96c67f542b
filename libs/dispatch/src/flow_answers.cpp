#include "flow_answers.hpp"

#include "dispatch/dispatcher.hpp"

#include <algorithm>
#include <array>
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

/// \return the time in whole seconds, rounded up, because a caller that retries too early is
/// refused again.
std::string whole_seconds(core::millis it)
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
    case refusal::withdrawn:
    case refusal::not_ready:
        break;
    }
    return status_unavailable;
}

struct claim_row
{
    claims::outcome_reason reason;
    int status;
    const char* text;
};

/// \return the status and text for a call that was not sent, by the claim's reason.
const claim_row& row_of(claims::outcome_reason reason)
{
    using enum claims::outcome_reason;
    static constexpr std::array<claim_row, 8> rows{{
        {not_claimed,
            status_unavailable,
            "This call was not sent; whether an earlier one with its key ran is not known."},
        {answer_not_kept, status_gone, "It ran; its answer was too large to be remembered."},
        {running, status_conflict, "A call with this key is running."},
        {may_have_run,
            status_bad_gateway,
            "An earlier call with this key may have run; it will not run again."},
        {other_body,
            status_other_body,
            "The key was used for another request; this one was not run."},
        {keys_full, status_unavailable, "There is no room to remember one more key."},
        {quarantined,
            status_unavailable,
            "This call was not sent; whether an earlier one with its key ran is not known."},
        {given_up, status_unavailable, "This call was not sent."},
    }};
    const auto it = std::find_if(
        rows.begin(), rows.end(), [&](const auto& row) { return row.reason == reason; });
    return it == rows.end() ? rows.front() : *it;
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
        out.response.fields.emplace_back(
            std::string{fields::retry_after}, whole_seconds(retry_after));
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
    out.reason = "answered";
    set_outcome(out.response, out.outcome);
    return out;
}

answer_caller unknown_answer(const answer_caller& refused)
{
    const bool late = refused.response.status == status_timeout;
    return own_answer(late ? status_timeout : status_bad_gateway,
        caller_outcome::unknown,
        refused.retry_after,
        refused.reason,
        "It was sent and may have run; sending it again was refused.");
}

answer_caller claim_answer(const claims::outcome_report& report)
{
    if (report.kind == claims::outcome::answered)
    {
        auto out = target_answer(report.response);
        out.response.fields.emplace_back(std::string{fields::replayed}, "true");
        return out;
    }
    const auto& row = row_of(report.reason);
    const auto outcome =
        report.kind == claims::outcome::not_run ? caller_outcome::not_run : caller_outcome::unknown;
    auto out = own_answer(row.status,
        outcome,
        report.retry_after,
        std::string{core::name_of(claims::outcome_reason_names, report.reason)},
        row.text);
    if (outcome == caller_outcome::unknown)
    {
        out.response.fields.emplace_back(std::string{fields::attempt}, "not-sent");
    }
    return out;
}

} // namespace camphorhitch::dispatch
