#include "service.hpp"

using camphorhitch::standin_kv::service;
using camphorhitch::standin_kv::service_settings;
using camphorhitch::standin_support::option_values;
using camphorhitch::standin_support::standin;

int main(int argc, char** argv)
{
    const auto serve = [](standin& s, const option_values& options)
    {
        service_settings settings;
        settings.history_bytes = static_cast<std::size_t>(options.number("history-mb")) << 20;
        settings.limits.writes = options.number("writes-per-second");
        settings.limits.reads = options.number("reads-per-second");
        service kv(s, settings);
        s.serve(kv.port(), kv.control_port());
    };
    return camphorhitch::standin_support::run_standin(argc,
        argv,
        "Key-value service for tests, with faults on command",
        {{"writes-per-second", "most writes a second, 0 for no limit", "0"},
            {"reads-per-second", "most reads a second, 0 for no limit", "0"},
            {"history-mb", "values kept for replay and the checker", "512"}},
        serve);
}
