#include "hosts_file.hpp"
#include "service.hpp"

#include <curl/curl.h>
#include <fstream>
#include <iterator>
#include <stdexcept>

using camphorhitch::core::millis;
using camphorhitch::standin_support::option_values;
using camphorhitch::standin_support::standin;
using namespace camphorhitch::standin_worker;

namespace
{

std::vector<host> read_hosts(const std::string& path)
{
    std::ifstream in(path);
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    auto parsed = parse_hosts(text);
    if (const auto* const wrong = std::get_if<camphorhitch::core::findings>(&parsed))
    {
        throw std::invalid_argument(path + ": " + camphorhitch::core::to_text(*wrong));
    }
    return std::get<std::vector<host>>(std::move(parsed));
}

std::vector<host> hosts_of(const option_values& options)
{
    if (!options.text("hosts").empty())
    {
        return read_hosts(options.text("hosts"));
    }
    layout arrangement;
    arrangement.count = static_cast<std::size_t>(options.number("count"));
    arrangement.prefix = options.text("prefix");
    arrangement.zones = static_cast<std::size_t>(options.number("zones"));
    arrangement.rack_size = static_cast<std::size_t>(options.number("rack-size"));
    arrangement.accelerators = static_cast<int>(options.number("accelerators"));
    if (arrangement.zones == 0 || arrangement.rack_size == 0)
    {
        throw std::invalid_argument("--zones and --rack-size must be above 0");
    }
    return make_hosts(arrangement);
}

void serve(standin& s, const option_values& options)
{
    service_settings settings;
    settings.hosts = hosts_of(options);
    settings.simulation.reboot = millis{options.number("reboot-ms")};
    settings.simulation.usage_lag = millis{options.number("usage-lag-ms")};
    settings.simulation.seed = s.settings.seed;
    settings.livelist = options.text("livelist-control");
    settings.targets = options.text("target-control");
    service workers(s, std::move(settings));
    s.serve(workers.port(), workers.control_port());
}

} // namespace

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto rc = camphorhitch::standin_support::run_standin(argc,
        argv,
        "Workers for tests: hosts that run tasks, reboot and fail",
        {{"hosts", "JSON file with the hosts, instead of the count", ""},
            {"count", "number of hosts", "1"},
            {"prefix", "hosts are PREFIX1, PREFIX2, ...", "h"},
            {"zones", "number of availability zones", "1"},
            {"rack-size", "hosts to a rack", "4"},
            {"accelerators", "accelerators of each host", "0"},
            {"reboot-ms", "how long a reboot takes", "2000"},
            {"usage-lag-ms", "how late usage is reported", "1000"},
            {"livelist-control", "http://ip:port of the live list's control port", ""},
            {"target-control", "http://ip:port of the targets' control port", ""}},
        serve);
    curl_global_cleanup();
    return rc;
}
