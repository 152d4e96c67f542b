/// \file
/// camphorhitch: the operators' client.

#include "arguments.hpp"
#include "session.hpp"

#include <chrono>
#include <curl/curl.h>
#include <iostream>
#include <thread>

namespace
{

using namespace camphorhitch;
using namespace camphorhitch::client;

constexpr std::chrono::milliseconds wait_step{200};

int print(const call_outcome& it)
{
    std::cout << it.text << std::flush;
    std::cerr << it.problem;
    return static_cast<int>(it.code);
}

int watch(const arguments& a)
{
    for (;;)
    {
        const int code = print(execute(a, new_command_id(), false));
        if (code != static_cast<int>(exit_code::ok))
        {
            return code;
        }
        std::this_thread::sleep_for(std::chrono::seconds{a.watch_seconds});
        std::cout << '\n';
    }
}

/// Repeats the question, never the command, until the command is in force everywhere.
int wait_settled(const arguments& a, const std::string& id)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{a.wait_seconds};
    while (std::chrono::steady_clock::now() < end)
    {
        const auto it = execute(a, id, true);
        if (it.code == exit_code::ok && it.settled)
        {
            std::cout << "in force everywhere\n";
            return static_cast<int>(exit_code::ok);
        }
        std::this_thread::sleep_for(wait_step);
    }
    std::cerr << "accepted, but not in force everywhere yet\n";
    return static_cast<int>(exit_code::wait_ended);
}

int run(const arguments& a)
{
    if (a.watch_seconds > 0)
    {
        return watch(a);
    }
    const auto id = a.command_id.empty() ? new_command_id() : a.command_id;
    const auto outcome = execute(a, id, false);
    const int code = print(outcome);
    if (outcome.code == exit_code::unknown_effect)
    {
        std::cerr << "it may have been done; to repeat it safely: --command-id " << id << '\n';
    }
    if (code != static_cast<int>(exit_code::ok) || !a.wait)
    {
        return code;
    }
    return wait_settled(a, id);
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed = read_arguments(argc, argv);
    if (const auto* it = std::get_if<only_text>(&parsed))
    {
        std::cout << it->text;
        return static_cast<int>(exit_code::ok);
    }
    if (const auto* it = std::get_if<core::findings>(&parsed))
    {
        std::cerr << core::to_text(*it);
        return static_cast<int>(exit_code::usage);
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const int code = run(std::get<arguments>(parsed));
    curl_global_cleanup();
    return code;
}
