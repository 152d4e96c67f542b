#include "session.hpp"

#include <nlohmann/json.hpp>

namespace camphorhitch::client
{

namespace
{

using json = nlohmann::json;

operator_request make_request(const arguments& a, const std::string& command_id, bool check_only)
{
    if (a.apply)
    {
        return {"PUT", "/v1/apply", a.statements, command_id};
    }
    const json body = {{"text", a.statements},
        {"name", a.statements_name},
        {"command", command_id},
        {"check_only", check_only}};
    const auto text = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return {"POST", "/v1/execute", text, command_id};
}

} // namespace

call_outcome execute(
    const arguments& a, const send_function& send, const std::string& command_id, bool check_only)
{
    const auto request = make_request(a, command_id, check_only);
    call_outcome last;
    bool may_have_effect = false;
    for (const auto& server : a.servers)
    {
        const auto raw = send(server, request);
        if (raw.answered)
        {
            auto out = read_answer(server, raw, a.json);
            if (out.code != exit_code::unavailable)
            {
                return out;
            }
            last.text = out.text;
            // The same problem is printed once, when several daemons report it.
            const bool already_reported = last.problem.find(out.problem) != std::string::npos;
            last.problem += already_reported ? std::string{} : out.problem;
            continue;
        }
        // The request contains the command id, so it is safe to try the next daemon after bytes
        // were sent.
        may_have_effect = may_have_effect || raw.sent;
        last.problem += server + ": " + raw.error + '\n';
    }
    last.code = may_have_effect ? exit_code::unknown_effect : exit_code::unavailable;
    return last;
}

} // namespace camphorhitch::client
