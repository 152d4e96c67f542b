#include "run.hpp"

#include <ostream>

namespace camphorhitch::client
{

namespace
{

constexpr std::chrono::milliseconds wait_poll_interval{200};
constexpr const char* clear_screen = "\x1b[H\x1b[2J";

void print(const call_outcome& it, const run_dependencies& dependencies)
{
    dependencies.out << it.text << std::flush;
    dependencies.err << it.problem << std::flush;
}

exit_code watch(const arguments& a, const run_dependencies& dependencies)
{
    for (;;)
    {
        const auto it = execute(a, dependencies.send, dependencies.new_command_id(), false);
        if (dependencies.is_terminal)
        {
            dependencies.out << clear_screen;
        }
        print(it, dependencies);
        if (it.code != exit_code::ok)
        {
            return it.code;
        }
        dependencies.sleep(std::chrono::seconds{a.watch_seconds});
        if (!dependencies.is_terminal)
        {
            dependencies.out << '\n';
        }
    }
}

/// Queries the state of the command until it is in force on all daemons. The command itself is
/// never sent again.
exit_code wait_until_settled(
    const arguments& a, const run_dependencies& dependencies, const std::string& id)
{
    const auto end = dependencies.now() + std::chrono::seconds{a.wait_seconds};
    while (dependencies.now() < end)
    {
        const auto it = execute(a, dependencies.send, id, true);
        if (it.code == exit_code::ok && it.settled)
        {
            dependencies.err << "in force everywhere\n";
            return exit_code::ok;
        }
        dependencies.sleep(wait_poll_interval);
    }
    dependencies.err << "accepted, but not in force everywhere yet\n";
    return exit_code::wait_ended;
}

} // namespace

exit_code run(const arguments& a, const run_dependencies& dependencies)
{
    if (a.watch_seconds > 0)
    {
        return watch(a, dependencies);
    }
    const auto id = a.command_id.empty() ? dependencies.new_command_id() : a.command_id;
    const auto outcome = execute(a, dependencies.send, id, false);
    print(outcome, dependencies);
    if (outcome.code == exit_code::unknown_effect)
    {
        dependencies.err << "it may have been done; to repeat it safely: --command-id " << id
                         << '\n';
    }
    if (outcome.code != exit_code::ok || !a.wait)
    {
        return outcome.code;
    }
    return wait_until_settled(a, dependencies, id);
}

} // namespace camphorhitch::client
