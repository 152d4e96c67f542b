#include "history.hpp"

#include <algorithm>

namespace camphorhitch::claims::testing
{

namespace
{

std::string line(const std::string& what, const sent_record& sent, const std::string& other)
{
    return what + ": key=" + sent.key + " attempt=" + sent.attempt +
           " sent_us=" + std::to_string(sent.at.time_since_epoch().count()) + " other=" + other;
}

void check_once(const history& seen, core::millis key_memory, std::vector<std::string>& broken)
{
    for (std::size_t a = 0; a < seen.sent.size(); ++a)
    {
        for (std::size_t b = a + 1; b < seen.sent.size(); ++b)
        {
            const auto& first = seen.sent[a];
            const auto& second = seen.sent[b];
            if (first.key == second.key && second.at - first.at < key_memory)
            {
                broken.push_back(line("sent twice", second, first.attempt));
            }
        }
    }
}

/// A granted attempt that was given up speaks for the time until its caller was told; a refusal
/// without a grant speaks for the time until its request arrived, since attempts that came beside
/// it are not in its order.
bool contradicts(const told_record& told, const sent_record& sent, core::millis key_memory)
{
    if (sent.attempt == told.attempt)
    {
        return true;
    }
    const bool granted = told.reason == outcome_reason::given_up;
    const bool before = sent.at < (granted ? told.at : told.arrived);
    const bool remembered = told.at - sent.at < key_memory;
    const bool speaks_of = told.reason != outcome_reason::other_body || sent.body == told.body;
    return sent.key == told.key && before && remembered && speaks_of;
}

void check_not_run(const history& seen, core::millis key_memory, std::vector<std::string>& broken)
{
    for (const auto& told : seen.told)
    {
        for (const auto& sent : seen.sent)
        {
            if (told.kind == outcome::not_run && contradicts(told, sent, key_memory))
            {
                broken.push_back(
                    line("told not-run, but sent", sent, told.attempt) +
                    " reason=" + std::string{core::name_of(outcome_reason_names, told.reason)} +
                    " arrived_us=" + std::to_string(told.arrived.time_since_epoch().count()) +
                    " told_us=" + std::to_string(told.at.time_since_epoch().count()));
            }
        }
    }
}

void check_answers(const history& seen, std::vector<std::string>& broken)
{
    for (const auto& told : seen.told)
    {
        const bool own = std::any_of(seen.sent.begin(),
            seen.sent.end(),
            [&](const auto& s)
            { return s.key == told.key && s.body == told.body && s.answer == told.answer; });
        if (told.kind == outcome::answered && !own)
        {
            broken.push_back("answer of another request: key=" + told.key +
                             " attempt=" + told.attempt + " answer=" + told.answer);
        }
    }
}

} // namespace

std::vector<std::string> broken_promises(const history& seen, core::millis key_memory)
{
    std::vector<std::string> broken;
    check_once(seen, key_memory, broken);
    check_not_run(seen, key_memory, broken);
    check_answers(seen, broken);
    return broken;
}

} // namespace camphorhitch::claims::testing
