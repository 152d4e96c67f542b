/// \file
/// camphorhitch: the operators' client.

#include "run.hpp"
#include "transport.hpp"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace
{

using namespace camphorhitch;
using namespace camphorhitch::client;

std::string random_id()
{
    return boost::uuids::to_string(boost::uuids::random_generator()());
}

exit_code run_here(const arguments& a)
{
    const transport http(a.token, a.timeout_ms);
    const run_dependencies dependencies{[&http](const auto& server, const auto& request)
        { return http.send(server, request); },
        random_id,
        [] { return std::chrono::steady_clock::now(); },
        [](std::chrono::milliseconds it) { std::this_thread::sleep_for(it); },
        std::cout,
        std::cerr,
        isatty(STDOUT_FILENO) == 1};
    return run(a, dependencies);
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed = read_arguments(argc, argv, process_environment());
    if (const auto* it = std::get_if<text_output>(&parsed))
    {
        std::cout << it->text;
        return static_cast<int>(exit_code::ok);
    }
    if (const auto* it = std::get_if<core::findings>(&parsed))
    {
        std::cerr << core::to_text(*it);
        return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(run_here(std::get<arguments>(parsed)));
}
