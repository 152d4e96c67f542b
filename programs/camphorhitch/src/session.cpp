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
    bool maybe_done = false;
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
            // Daemons that lack the same thing say the same.
            const bool told = last.problem.find(out.problem) != std::string::npos;
            last.problem += told ? std::string{} : out.problem;
            continue;
        }
        // The command carries its id, so asking the next daemon after bytes have left is safe.
        maybe_done = maybe_done || raw.sent;
        last.problem += server + ": " + raw.why + '\n';
    }
    last.code = maybe_done ? exit_code::unknown_effect : exit_code::unavailable;
    return last;
}

} // namespace camphorhitch::client
