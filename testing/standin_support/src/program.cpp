#include "standin_support/program.hpp"

#include <chrono>
#include <csignal>
#include <iostream>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace camphorhitch::standin_support
{

namespace
{

constexpr int exit_usage = 2;

/// Blocks the signals that end a stand-in, in this thread and those that it starts later.
sigset_t block_stop_signals()
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    sigprocmask(SIG_BLOCK, &stops, nullptr);
    return stops;
}

common_settings read_common(const cxxopts::ParseResult& parsed)
{
    common_settings s;
    s.port = parsed["port"].as<std::uint16_t>();
    s.control_port = parsed["control-port"].as<std::uint16_t>();
    s.token = parsed["token"].as<std::string>();
    s.seed = parsed["seed"].as<std::uint64_t>();
    return s;
}

} // namespace

std::int64_t unix_ms()
{
    const auto t = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<core::millis>(t).count();
}

void standin::serve(const listener& service, const listener& control)
{
    const auto stops = block_stop_signals();
    const int fd = signalfd(-1, &stops, SFD_CLOEXEC | SFD_NONBLOCK);
    loop.watch(fd, EPOLLIN, [this](std::uint32_t) { loop.stop(); });
    std::cout << "event=listening port=" << service.port() << " control_port=" << control.port()
              << std::endl;
    loop.run();
    loop.forget(fd);
    close(fd);
}

int run_standin(int argc,
    char** argv,
    cxxopts::Options& options,
    const std::function<void(standin&, const cxxopts::ParseResult&)>& body)
{
    block_stop_signals();
    auto add = options.add_options();
    add("port",
        "port on 127.0.0.1, 0 for a free one",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    add("control-port",
        "port of the control interface, 0 for a free one",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    add("token",
        "token that requests must bring",
        cxxopts::value<std::string>()->default_value(""));
    add("seed", "seed of all chance", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("help", "print this");
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0)
        {
            std::cout << options.help();
            return 0;
        }
        standin s(read_common(parsed));
        body(s, parsed);
    }
    catch (const cxxopts::exceptions::exception& e)
    {
        std::cerr << e.what() << "\n";
        return exit_usage;
    }
    return 0;
}

} // namespace camphorhitch::standin_support
