#include "service.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

using camphorhitch::core::millis;
using camphorhitch::standin_support::option_values;
using camphorhitch::standin_support::standin;
using camphorhitch::standin_target::service;
using camphorhitch::standin_target::service_settings;

namespace
{

/// Writes the ports of all targets to a file. The file is written under another name and renamed,
/// so that a driver that waits for it never reads an incomplete file.
void write_ports(const service& targets, const std::string& path)
{
    nlohmann::json all = nlohmann::json::object();
    for (const auto& it : targets.targets())
    {
        all[it->host()] = it->port();
    }
    const auto draft = path + ".draft";
    std::ofstream(draft) << all.dump() << "\n";
    std::rename(draft.c_str(), path.c_str());
}

void print_ports(const service& targets)
{
    for (const auto& it : targets.targets())
    {
        std::cout << "event=target host=" << it->host() << " port=" << it->port() << "\n";
    }
}

void serve(standin& s, const option_values& options)
{
    service_settings settings;
    settings.count = static_cast<std::size_t>(options.number("count"));
    settings.prefix = options.text("prefix");
    settings.first_port = static_cast<std::uint16_t>(options.number("first-port"));
    settings.slots = static_cast<int>(options.number("slots"));
    settings.delay = millis{options.number("delay-ms")};
    service targets(s, settings);
    const auto& path = options.text("ports-file");
    path.empty() ? print_ports(targets) : write_ports(targets, path);
    s.serve(targets.control_port(), targets.control_port());
}

} // namespace

int main(int argc, char** argv)
{
    return camphorhitch::standin_support::run_standin(argc,
        argv,
        "Targets for tests, with faults on command; its own port is the control port",
        {{"count", "number of targets", "1"},
            {"prefix", "targets are PREFIX1, PREFIX2, ...", "h"},
            {"first-port", "port of the first target, 0 for free ones", "0"},
            {"slots", "requests at once that each target is meant for", "8"},
            {"delay-ms", "service time of requests that ask for none", "5"},
            {"ports-file", "write the targets' ports there as JSON instead of printing them", ""}},
        serve);
}
