#include "service.hpp"

using camphorhitch::standin_kv::service;
using camphorhitch::standin_kv::service_settings;
using camphorhitch::standin_support::standin;

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_kv", "Key-value service for tests, with faults on command");
    auto add = options.add_options();
    add("writes-per-second", "0: no limit", cxxopts::value<std::int64_t>()->default_value("0"));
    add("reads-per-second", "0: no limit", cxxopts::value<std::int64_t>()->default_value("0"));
    add("history-mb",
        "values kept for replay",
        cxxopts::value<std::size_t>()->default_value("512"));
    const auto serve = [](standin& s, const cxxopts::ParseResult& parsed)
    {
        service_settings settings;
        settings.history_bytes = parsed["history-mb"].as<std::size_t>() << 20;
        settings.limits.writes = parsed["writes-per-second"].as<std::int64_t>();
        settings.limits.reads = parsed["reads-per-second"].as<std::int64_t>();
        service kv(s, settings);
        s.serve(kv.port(), kv.control_port());
    };
    return camphorhitch::standin_support::run_standin(argc, argv, options, serve);
}
