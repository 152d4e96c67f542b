/// \file
/// Command line of the client.
#pragma once

#include "core/findings.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::client
{

/// Arguments of one run, after options, environment and settings file were combined.
struct arguments
{
    std::vector<std::string> servers; ///< "ip:port", tried in order
    std::string token;                ///< the operators' token
    std::string statements;           ///< the text to execute
    std::string statements_name;      ///< "argument", a file's name, or "standard input"
    bool apply = false;     ///< the text is a file of configuration and hosts instead of statements
    std::string command_id; ///< to repeat a command whose answer was lost; empty: a new id
    bool json = false;      ///< print the JSON answer instead of tables
    bool wait = false; ///< wait until the command is in force everywhere, or its wave has ended
    int wait_seconds = 600; ///< maximum wait
    int watch_seconds = 0;  ///< interval between repeats of a query; 0: no repeats
    int timeout_ms = 10000; ///< timeout of one call
};

/// Text to print for --help or --version. The program then exits with success.
struct text_output
{
    std::string text;
};

using parsed_arguments = std::variant<arguments, text_output, core::findings>;

/// Access to environment variables, files and standard input. Tests replace it.
struct environment
{
    std::function<std::optional<std::string>(const std::string& name)> variable;
    std::function<std::optional<std::string>(const std::string& name)> file;
    std::function<std::string()> standard_input;
};

/// \return access to the environment of the process.
environment process_environment();

/// Reads the command line and the files that it names. An option has precedence over the
/// environment (CAMPHORHITCH_SERVERS, CAMPHORHITCH_TOKEN), and the environment over the settings
/// file.
/// \return the arguments, the text to print, or the findings.
parsed_arguments read_arguments(int argc, const char* const* argv, const environment& env);

} // namespace camphorhitch::client
