#include "standin_support/program.hpp"

#include <charconv>
#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace camphorhitch::standin_support
{

namespace
{

constexpr int exit_usage = 2;

/// Blocks the signals that stop a stand-in, in this thread and in threads that it starts later.
sigset_t block_stop_signals()
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    sigprocmask(SIG_BLOCK, &stops, nullptr);
    return stops;
}

const std::vector<option> common_options = {
    {"port", "port on 127.0.0.1, 0 for a free one", "0"},
    {"control-port", "port of the control interface, 0 for a free one", "0"},
    {"token", "token that requests must bring; empty for none", ""},
    {"seed", "seed of all chance", "1"},
};

common_settings read_common(const option_values& values)
{
    common_settings s;
    s.port = static_cast<std::uint16_t>(values.number("port"));
    s.control_port = static_cast<std::uint16_t>(values.number("control-port"));
    s.token = values.text("token");
    s.seed = static_cast<std::uint64_t>(values.number("seed"));
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
    loop.unwatch(fd);
    close(fd);
}

const std::string& option_values::text(const std::string& name) const
{
    return values_.at(name);
}

std::int64_t option_values::number(const std::string& name) const
{
    const auto& value = text(name);
    std::int64_t n = -1;
    const auto [at, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
    if (ec != std::errc{} || at != value.data() + value.size() || n < 0)
    {
        throw std::invalid_argument("--" + name + " must be a whole number from 0 on");
    }
    return n;
}

int run_standin(int argc,
    char** argv,
    const std::string& about,
    std::vector<option> own,
    const std::function<void(standin&, const option_values&)>& body)
{
    block_stop_signals();
    own.insert(own.end(), common_options.begin(), common_options.end());
    cxxopts::Options options(argv[0], about);
    options.add_options()("help", "print this");
    for (const auto& it : own)
    {
        // All values are read as text, because cxxopts' number parser causes a false warning with
        // g++ 12.
        const auto value = cxxopts::value<std::string>()->default_value(it.default_value);
        options.add_options()(it.name, it.help, value);
    }
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0)
        {
            std::cout << options.help();
            return 0;
        }
        std::map<std::string, std::string> values;
        for (const auto& it : own)
        {
            values[it.name] = parsed[it.name].as<std::string>();
        }
        const option_values read(std::move(values));
        standin s(read_common(read));
        body(s, read);
    }
    catch (const cxxopts::exceptions::exception& e)
    {
        std::cerr << e.what() << "\n";
        return exit_usage;
    }
    catch (const std::invalid_argument& e)
    {
        std::cerr << e.what() << "\n";
        return exit_usage;
    }
    return 0;
}

} // namespace camphorhitch::standin_support
