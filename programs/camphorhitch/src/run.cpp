#include "run.hpp"

#include <ostream>

namespace camphorhitch::client
{

namespace
{

constexpr std::chrono::milliseconds wait_step{200};
constexpr const char* clear_screen = "\x1b[H\x1b[2J";

void print(const call_outcome& it, const run_parts& parts)
{
    parts.out << it.text << std::flush;
    parts.err << it.problem << std::flush;
}

exit_code watch(const arguments& a, const run_parts& parts)
{
    for (;;)
    {
        const auto it = execute(a, parts.send, parts.new_command_id(), false);
        if (parts.terminal)
        {
            parts.out << clear_screen;
        }
        print(it, parts);
        if (it.code != exit_code::ok)
        {
            return it.code;
        }
        parts.pause(std::chrono::seconds{a.watch_seconds});
        if (!parts.terminal)
        {
            parts.out << '\n';
        }
    }
}

/// Repeats the question, never the command, until the command is in force everywhere.
exit_code wait_settled(const arguments& a, const run_parts& parts, const std::string& id)
{
    const auto end = parts.now() + std::chrono::seconds{a.wait_seconds};
    while (parts.now() < end)
    {
        const auto it = execute(a, parts.send, id, true);
        if (it.code == exit_code::ok && it.settled)
        {
            parts.err << "in force everywhere\n";
            return exit_code::ok;
        }
        parts.pause(wait_step);
    }
    parts.err << "accepted, but not in force everywhere yet\n";
    return exit_code::wait_ended;
}

} // namespace

exit_code run(const arguments& a, const run_parts& parts)
{
    if (a.watch_seconds > 0)
    {
        return watch(a, parts);
    }
    const auto id = a.command_id.empty() ? parts.new_command_id() : a.command_id;
    const auto outcome = execute(a, parts.send, id, false);
    print(outcome, parts);
    if (outcome.code == exit_code::unknown_effect)
    {
        parts.err << "it may have been done; to repeat it safely: --command-id " << id << '\n';
    }
    if (outcome.code != exit_code::ok || !a.wait)
    {
        return outcome.code;
    }
    return wait_settled(a, parts, id);
}

} // namespace camphorhitch::client
