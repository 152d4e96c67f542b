/// \file
/// One call of the client: sends statements to a daemon, and tries the next when it can't be
/// reached.
#pragma once

#include "answers.hpp"
#include "arguments.hpp"

#include <functional>
#include <string>

namespace camphorhitch::client
{

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

/// \param command_id the same one makes a repeat have its effect once.
/// \param check_only only asks whether the command is in force everywhere by now.
call_outcome execute(
    const arguments& a, const send_function& send, const std::string& command_id, bool check_only);

} // namespace camphorhitch::client
