#include "service.hpp"

using camphorhitch::core::millis;
using camphorhitch::standin_livelist::service;
using camphorhitch::standin_support::option_values;
using camphorhitch::standin_support::standin;

int main(int argc, char** argv)
{
    const auto serve = [](standin& s, const option_values& options)
    {
        service list(s, millis{options.number("lag-ms")});
        s.serve(list.port(), list.control_port());
    };
    return camphorhitch::standin_support::run_standin(argc,
        argv,
        "Live list for tests: which hosts are live, leaving or down, as of a while ago",
        {{"lag-ms", "how far readers are behind", "0"}},
        serve);
}
