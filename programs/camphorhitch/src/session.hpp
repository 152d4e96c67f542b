/// \file
/// One call of the client: sends statements to a daemon, and tries the next daemon when one is
/// unavailable.
#pragma once

#include "answers.hpp"
#include "arguments.hpp"

#include <functional>
#include <string>

namespace camphorhitch::client
{

/// An HTTP request to the operators' address of a daemon.
struct operator_request
{
    const char* method = "POST";
    std::string path;
    std::string body;
    std::string command_id;
};

/// Sends one request to one server and waits for the answer.
using send_function =
    std::function<raw_answer(const std::string& server, const operator_request& request)>;

/// Sends the statements to the servers in order until one is available.
/// \param command_id id of the command. Repeats with the same id take effect once.
/// \param check_only queries whether the command is in force on all daemons, without executing it.
call_outcome execute(
    const arguments& a, const send_function& send, const std::string& command_id, bool check_only);

} // namespace camphorhitch::client
