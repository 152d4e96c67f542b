/// \file
/// The client's command line.
#pragma once

#include "core/findings.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::client
{

struct arguments
{
    std::vector<std::string> servers; ///< "ip:port", tried in order
    std::string token;
    std::string statements;      ///< the text to execute
    std::string statements_name; ///< "argument", a file's name, or "standard input"
    bool apply = false;          ///< the text is a file of configuration and hosts, not statements
    std::string command_id;      ///< given again to repeat a command whose answer was lost
    bool json = false;
    bool wait = false;
    int wait_seconds = 600;
    int watch_seconds = 0; ///< 0: once
    int timeout_ms = 10000;
};

/// Asked for help or the version: print the text and end well.
struct only_text
{
    std::string text;
};

using parsed_arguments = std::variant<arguments, only_text, core::findings>;

/// Reads the command line, the environment (CAMPHORHITCH_SERVERS, CAMPHORHITCH_TOKEN) and the
/// statements' file or standard input.
parsed_arguments read_arguments(int argc, char** argv);

} // namespace camphorhitch::client
