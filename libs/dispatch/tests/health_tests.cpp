#include "fixture.hpp"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::dispatch;
using namespace camphorhitch::dispatch::test;
using ports::permit_outcome;

namespace
{

/// Sends requests one after the other, \p gap_ms apart. Hosts in \p failing fail them at once.
/// \return the number of requests sent to each host.
std::map<std::string, int> send_all(
    pool_fixture& f, const std::vector<std::string>& failing, int from_ms, int requests, int gap_ms)
{
    std::map<std::string, int> sent;
    for (int i = 0; i < requests; ++i)
    {
        const auto now = at(from_ms + i * gap_ms);
        on_tick(f.d, now);
        const auto permit = f.granted(now);
        const auto& host = permit.reply.host;
        const bool fails = std::count(failing.begin(), failing.end(), host) > 0;
        sent[host] += 1;
        f.return_permit(permit, fails ? permit_outcome::failed : permit_outcome::answered, now);
    }
    return sent;
}

} // namespace

TEST_GROUP(health){};

// A target fails every request at once. It always has the lowest load, so without ejection it would
// attract nearly all requests, and callers would get nearly only failures. It is ejected after five
// failures in a row; then it gets single probes, at growing intervals.
TEST(health, a_target_that_fails_all_at_once_attracts_no_load)
{
    pool_fixture f{4, 8};
    const auto sent = send_all(f, {"h1"}, 0, 2000, 10);
    const int probes_in_20_s = 6; // after 0.5, 1.5, 3.5, 7.5 and 15.5 s, and one more at most
    CHECK(sent.at("h1") >= 5);
    CHECK(sent.at("h1") <= f.d.settings.health.failures_in_a_row + probes_in_20_s);
}

// The failing target works again. The next probe is answered, and the target's share of the load
// grows with each answer until it is as large as that of the other targets.
TEST(health, a_target_that_works_again_returns_to_service)
{
    pool_fixture f{2, 8};
    send_all(f, {"h1"}, 0, 100, 10);
    CHECK(f.d.targets["h1"].health.state == health_state::ejected);
    send_all(f, {}, 1000, 400, 10);
    CHECK(f.d.targets["h1"].health.state == health_state::healthy);
    CHECK(f.d.targets["h1"].health.probe_interval.count() == 0);
}

TEST(health, one_probe_at_a_time)
{
    pool_fixture f{2, 8};
    send_all(f, {"h1"}, 0, 20, 1);
    const auto due = f.d.targets["h1"].health.probe_at;
    const auto probe = f.granted(due);
    STRCMP_EQUAL("h1", probe.reply.host.c_str());
    STRCMP_EQUAL("h2", f.granted(due).reply.host.c_str());
    // The probe was not sent, so the next request is the probe.
    f.return_permit(probe, permit_outcome::unused, due);
    STRCMP_EQUAL("h1", f.granted(due).reply.host.c_str());
}

TEST(health, a_high_share_of_failures_ejects_too)
{
    pool_fixture f{3, 8};
    for (int i = 0; i < 60; ++i)
    {
        const auto permit = f.granted(at(i));
        const bool fails = permit.reply.host == "h1" && i % 4 != 0;
        f.return_permit(permit, fails ? permit_outcome::failed : permit_outcome::answered, at(i));
    }
    CHECK(f.d.targets["h1"].health.state == health_state::ejected);
}

// A database that all targets need is down, so every target fails. Ejecting the targets one by one
// would put the load on fewer and fewer targets and replace the targets' own errors by refusals. At
// most half of the targets are ejected.
TEST(health, a_fault_of_the_whole_pool_does_not_eject_all_targets)
{
    struct row
    {
        int hosts;
        int max_ejected;
    };
    for (const auto& it : {row{1, 0}, row{2, 1}, row{10, 5}})
    {
        pool_fixture f{it.hosts, 8};
        std::vector<std::string> all;
        for (const auto& host : f.document.hosts)
        {
            all.push_back(host.id);
        }
        send_all(f, all, 0, 400, 1);
        int ejected = 0;
        for (const auto& [name, target] : f.d.targets)
        {
            ejected += target.health.state == health_state::ejected ? 1 : 0;
        }
        CHECK(ejected <= it.max_ejected);
    }
}

// Half of the pool is ejected when the healthy half is drained for maintenance. Ejections must end
// until the limit on the share of ejected targets holds again.
TEST(health, draining_the_healthy_targets_ends_ejections)
{
    pool_fixture f{4, 8};
    send_all(f, {"h1", "h2"}, 0, 100, 1);
    f.set_state("h3", model::host_state::draining, at(200));
    f.set_state("h4", model::host_state::draining, at(200));
    int ejected = 0;
    for (const auto* host : {"h1", "h2"})
    {
        ejected += f.d.targets[host].health.state == health_state::ejected ? 1 : 0;
    }
    LONGS_EQUAL(1, ejected);
}
