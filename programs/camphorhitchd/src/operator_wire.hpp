/// \file
/// How operators' clients and daemons talk over HTTP: the token, calls of statements, answers.
#pragma once

#include "operator_parts.hpp"
#include "ports/http.hpp"

#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// The statements of one call.
struct statement_batch
{
    std::string text;
    std::string name;        ///< where the text came from, for findings
    std::string command;     ///< its id; a repeat has its effect once
    bool check_only = false; ///< asks only whether the command is in force by now
};

/// \return whether the call carries the operators' token.
bool is_authorized(const ports::http_request& request, const std::string& token);

/// \return the call's statements; nothing when its body lacks a text or a command.
std::optional<statement_batch> read_batch(const std::string& body);

/// What an answer tells beside the results.
struct answer_heading
{
    std::string member; ///< that answers
    bool fresh = true;  ///< it knows the roster in force
    bool store_reachable = true;
    bool settled = true; ///< the command is in force everywhere
};

ports::http_response answer_results(
    const answer_heading& h, const std::vector<statement_result>& all);

/// An answer of one text.
ports::http_response answer_text(int status, const std::string& text);

} // namespace camphorhitch::daemon
