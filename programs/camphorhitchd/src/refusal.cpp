#include "refusal.hpp"

#include "dispatch/caller_request.hpp"

#include <nlohmann/json.hpp>

namespace camphorhitch::daemon
{

std::string idempotency_key_of(const ports::http_request& r)
{
    const auto* key = ports::find_field(r.fields, dispatch::fields::idempotency_key);
    return key == nullptr ? std::string{} : *key;
}

// The outcome must differ for a repeat: suppose that the first call of a deposit ends unknown and
// the caller repeats the call with its key through an entry host that is stopping. With the answer
// "not-run" the caller would record the deposit as not charged, although the first call may have
// run. Only the holders of the key have a record of that call, and a host that refuses a request
// itself has not queried them.
ports::http_response make_response(const refusal& it)
{
    const std::string outcome = it.may_have_run_before ? "unknown" : "not-run";
    ports::http_response out;
    out.status = it.status;
    out.fields = {{"Content-Type", "application/json"},
        {std::string(dispatch::fields::outcome), outcome},
        {std::string(dispatch::fields::reason), it.reason}};
    if (it.may_have_run_before)
    {
        out.fields.emplace_back(std::string(dispatch::fields::attempt), "not-sent");
    }
    if (it.retry_after_s > 0)
    {
        out.fields.emplace_back(
            std::string(dispatch::fields::retry_after), std::to_string(it.retry_after_s));
    }
    out.body = nlohmann::json({{"outcome", outcome}, {"reason", it.reason}, {"text", it.text}})
                   .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return out;
}

} // namespace camphorhitch::daemon
