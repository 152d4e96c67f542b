/// \file
/// The HTTP format of operators' calls: the token, batches of statements, and answers.
#pragma once

#include "ports/http.hpp"
#include "service_refs.hpp"

#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// The statements of one HTTP call.
struct statement_batch
{
    std::string text;
    std::string name;        ///< name of the text in findings, such as a file
    std::string command;     ///< id of the command; a repeated command takes effect once
    bool check_only = false; ///< only query whether the command has settled
};

/// \return whether the request carries the operators' token.
bool is_authorized(const ports::http_request& request, const std::string& token);

/// \return the statements of the call, or nothing when \p body lacks a text or a command.
std::optional<statement_batch> read_batch(const std::string& body);

/// Data of an answer besides the results.
struct answer_metadata
{
    std::string member; ///< id of the member that answers
    bool fresh = true;  ///< the member's roster is confirmed to be in force
    bool store_reachable = true;
    bool settled = true; ///< the command is in force at all members
};

/// Makes an answer with the results of statements.
ports::http_response answer_results(
    const answer_metadata& h, const std::vector<statement_result>& all);

/// Makes an answer that consists of one message.
ports::http_response answer_text(int status, const std::string& text);

} // namespace camphorhitch::daemon
