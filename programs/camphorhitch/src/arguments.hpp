/// \file
/// The client's command line.
#pragma once

#include "core/findings.hpp"

#include <functional>
#include <optional>
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

/// What the client is started in, so that tests can give their own.
struct surroundings
{
    std::function<std::optional<std::string>(const std::string& name)> variable;
    std::function<std::optional<std::string>(const std::string& name)> file;
    std::function<std::string()> standard_input;
};

/// \return the process's own environment, files and standard input.
surroundings own_surroundings();

/// Reads the command line and what it names. Of each value, an option goes before the environment
/// (CAMPHORHITCH_SERVERS, CAMPHORHITCH_TOKEN) and that before the settings file.
parsed_arguments read_arguments(int argc, const char* const* argv, const surroundings& around);

} // namespace camphorhitch::client
