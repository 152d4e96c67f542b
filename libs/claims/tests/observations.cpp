#include "observations.hpp"

#include <algorithm>

namespace camphorhitch::claims::testing
{

namespace
{

std::string describe(const std::string& what, const sent_request& sent, const std::string& other)
{
    return what + ": key=" + sent.key + " attempt=" + sent.attempt +
           " sent_us=" + std::to_string(sent.at.time_since_epoch().count()) + " other=" + other;
}

void check_once(
    const observations& observed, core::millis key_memory, std::vector<std::string>& violations)
{
    for (std::size_t a = 0; a < observed.sent.size(); ++a)
    {
        for (std::size_t b = a + 1; b < observed.sent.size(); ++b)
        {
            const auto& first = observed.sent[a];
            const auto& second = observed.sent[b];
            if (first.key == second.key && second.at - first.at < key_memory)
            {
                violations.push_back(describe("sent twice", second, first.attempt));
            }
        }
    }
}

/// A granted attempt that was given up covers the time until its caller was answered. A refusal
/// without a grant covers the time until its request arrived, because attempts that arrived
/// concurrently have no defined order relative to it.
bool is_contradicted(
    const reported_outcome& reported, const sent_request& sent, core::millis key_memory)
{
    if (sent.attempt == reported.attempt)
    {
        return true;
    }
    const bool granted = reported.reason == outcome_reason::given_up;
    const bool before = sent.at < (granted ? reported.at : reported.arrived);
    const bool remembered = reported.at - sent.at < key_memory;
    const bool same_request =
        reported.reason != outcome_reason::other_body || sent.body == reported.body;
    return sent.key == reported.key && before && remembered && same_request;
}

void check_not_run(
    const observations& observed, core::millis key_memory, std::vector<std::string>& violations)
{
    for (const auto& reported : observed.reported)
    {
        for (const auto& sent : observed.sent)
        {
            if (reported.kind == outcome::not_run && is_contradicted(reported, sent, key_memory))
            {
                violations.push_back(
                    describe("reported not-run, but sent", sent, reported.attempt) +
                    " reason=" + std::string{core::name_of(outcome_reason_names, reported.reason)} +
                    " arrived_us=" + std::to_string(reported.arrived.time_since_epoch().count()) +
                    " reported_us=" + std::to_string(reported.at.time_since_epoch().count()));
            }
        }
    }
}

void check_answers(const observations& observed, std::vector<std::string>& violations)
{
    for (const auto& reported : observed.reported)
    {
        const bool own = std::any_of(observed.sent.begin(),
            observed.sent.end(),
            [&](const auto& s) {
                return s.key == reported.key && s.body == reported.body &&
                       s.answer == reported.answer;
            });
        if (reported.kind == outcome::answered && !own)
        {
            violations.push_back("answer of another request: key=" + reported.key +
                                 " attempt=" + reported.attempt + " answer=" + reported.answer);
        }
    }
}

} // namespace

std::vector<std::string> find_violations(const observations& observed, core::millis key_memory)
{
    std::vector<std::string> violations;
    check_once(observed, key_memory, violations);
    check_not_run(observed, key_memory, violations);
    check_answers(observed, violations);
    return violations;
}

} // namespace camphorhitch::claims::testing
