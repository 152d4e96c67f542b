#include "transcript.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

namespace
{

constexpr int max_hosts = 13;
const char* const pool_names[] = {"quotes", "holds", "deposits", "refunds", "ledger", "alerts"};

std::string pool_config(const std::string& name)
{
    return R"({"name": ")" + name + R"(", "services": [")" + name +
           R"("], "policy": "steady", "budget": {"absent": 1, "absent_per_zone": 1}})";
}

std::string host_text(int n)
{
    const auto number = std::to_string(n);
    const auto zone = std::string(1, static_cast<char>('a' + n % 3));
    return R"({"id": "h)" + number + R"(", "zone": ")" + zone + R"(", "rack": "r)" + zone +
           R"(", "target": "10.0.0.)" + number + R"(:80"})";
}

/// A setup file of pool quotes with the hosts h1 to h3, and of five pools with two hosts each.
std::string fleet_file()
{
    std::string configs;
    std::string pools;
    int next = 1;
    for (const std::string name : pool_names)
    {
        std::string hosts;
        for (const int last = next + (next == 1 ? 2 : 1); next <= last; ++next)
        {
            hosts += (hosts.empty() ? "" : ", ") + host_text(next);
        }
        const auto* comma = configs.empty() ? "" : ", ";
        configs += comma + pool_config(name);
        pools += comma + (R"({"pool": ")" + name + R"(", "hosts": [)") + hosts + "]}";
    }
    return R"({"configuration": {"pools": [)" + configs + R"(],
  "policies": [
    {"name": "steady", "kind": "one_by_one", "halt_after": 1, "fixed_buffer": 0,
     "return_timeout_ms": 20000},
    {"name": "swift", "kind": "fastest", "return_timeout_ms": 20000}],
  "teams": [{"name": "prints", "processors": 64, "memory_gb": 256, "accelerators": 0}]},
 "pools": [)" +
           pools + "]}";
}

/// Submissions of a short job, a long job, and a job that fits no host.
std::string jobs_text()
{
    return R"({"jobs": [)"
           R"({"id": "nightly-1", "team": "prints", "class": "normal", "run_time_ms": 20000, )"
           R"("declared": {"processors": 4, "memory_gb": 8}}, )"
           R"({"id": "nightly-2", "team": "prints", "class": "long_running", "run_time_ms": 3600000, )"
           R"("idempotent": true, "declared": {"processors": 8, "memory_gb": 16}}, )"
           R"({"id": "huge-1", "team": "prints", "class": "normal", "run_time_ms": 20000, )"
           R"("declared": {"processors": 48, "memory_gb": 8}}]})";
}

void wave_with_a_failure(test_fleet& fleet, operator_session& s)
{
    s.note("host h3 will not come back from its next reboot");
    fleet.platform.hosts["h3"].returns = false;
    s.execute("start wave spring where pool = quotes");
    s.wait_shown("show waves where phase = halted", "spring");
    s.execute("show waves; show hosts where pool = quotes order by id");
    s.execute("why wave spring; why host h3; why host h2");
    s.note("host h3 is repaired");
    fleet.platform.boot("h3");
    s.execute("resume wave spring");
    s.wait_shown("show waves where phase = done", "spring");
    s.execute(
        "show waves; show hosts where pool = quotes order by id; why wave spring; why host h2");
    s.execute("show jobs order by id; why job nightly-2");
}

void experiment_with_a_wave(test_fleet& fleet, operator_session& s)
{
    s.execute("start experiment e1 arms now=steady,then=swift on pool "
              "quotes,holds,deposits,refunds,ledger,alerts for 1h seed 7");
    s.wait_shown("show experiments where state = running", "e1");
    s.execute("show experiments; show pools; set pool quotes policy = swift");
    fleet.run_for(core::millis{300000});
    s.execute("start wave summer");
    s.wait_shown("show waves where phase = done", "summer");
    s.execute("show waves");
    fleet.run_for(core::millis{300000});
    s.execute("stop experiment e1");
    s.wait_shown("show experiments where state = ended", "e1");
    s.execute("show experiments; show pools; stop experiment e1");
}

void experiment_in_danger(test_fleet& fleet, operator_session& s)
{
    s.note("host h9 will not come back from its next reboot");
    fleet.platform.hosts["h9"].returns = false;
    s.execute("start experiment e2 arms now=steady,then=swift on pool "
              "quotes,holds,deposits,refunds,ledger,alerts for 1h seed 8");
    s.wait_shown("show experiments where state = running", "e2");
    fleet.run_for(core::millis{120000});
    s.execute("start wave autumn");
    s.wait_shown("show experiments where state = ended", "e2");
    s.execute("stop experiment e2; cancel wave autumn; show waves");
}

std::string operators_day()
{
    test_fleet fleet(1);
    add_hosts(fleet, max_hosts);
    CHECK(fleet.wait_ready());
    operator_session s(fleet, fleet.at(0));
    s.execute("show pools; show hosts; show members");
    s.apply("fleet.json", fleet_file());
    s.execute("show config; show policies; show teams");
    s.wait_shown("show hosts where state = serving", "h13");
    s.execute("show pools; show hosts order by id");
    s.submit("quotes", jobs_text());
    s.submit("quotes", jobs_text());
    s.wait_shown("show jobs where state = running", "nightly-2");
    s.execute("show jobs order by id; why job nightly-2; why job huge-1");
    wave_with_a_failure(fleet, s);
    s.execute("move host h5 to pool quotes");
    s.wait_shown("show hosts where pool = quotes and state = serving", "h5");
    s.execute("show hosts where pool = quotes; why host h5");
    s.execute("set pool quotes budget.absent = 2; set policy swift return_timeout = 15s");
    s.execute("show pools; show policies; show config");
    experiment_with_a_wave(fleet, s);
    experiment_in_danger(fleet, s);
    s.execute("cancel job nightly-2; cancel jobs where team = prints and state = waiting");
    s.wait_shown("show jobs where state = cancelled", "nightly-2");
    s.execute("show jobs order by id; why job nightly-2");
    return s.text();
}

std::string day_of_mistakes()
{
    test_fleet fleet(1);
    add_hosts(fleet, max_hosts);
    CHECK(fleet.wait_ready());
    operator_session s(fleet, fleet.at(0));
    s.apply("a file that is no JSON", "{");
    s.apply("a file with an unknown key", R"({"pool": []})");
    s.apply("a file with contradictions",
        R"({"configuration": {"pools": [{"name": "quotes", "services": ["quotes"], )"
        R"("policy": "steadi", "budget": {"absent": 0}}], "policies": [{"name": "steady"}]}})");
    s.apply("fleet.json", fleet_file());
    s.apply("fleet.json, meant for a version of the past",
        R"({"configuration": {"version": 41, "pools": []}})");
    s.wait_shown("show hosts where state = serving", "h13");
    const char* const mistakes[] = {
        "show hots",
        "shw hosts",
        "show hosts where stat = serving",
        "show hosts where slots = many; show hosts order by colour",
        "show hosts limit x",
        "show hosts where id = \"h1",
        "why cat tom",
        "why host h99",
        "why wave w9; show hosts",
        "why request nobodys",
        "set pool quotes budget.absnt = 1",
        "set pool quote budget.absent = 1",
        "set pool quotes budget.absent = -1",
        "set pool quotes policy = steddy",
        "set policy steady growth = 0.5, kind = fasted",
        "set config key_memory = 15 minutes",
        "drain host h99",
        "drain zone q",
        "drain rack r9 for leaving",
        "move host h1 to pool nowhere",
        "move host h1 in pool holds",
        "start wave w1 where zone = q",
        "start wave w1 policy steddy",
        "resume wave w9; show hosts",
        "cancel wave w9",
        "start experiment e1 arms now=steady on pool quotes",
        "start experiment e1 arms now=steady,then=swit on pool quotes,hold",
        "start experiment e1 arms a=b c",
        "stop experiment e9",
        "cancel jobs",
        "cancel job j9",
        "submit job {\"id\": ",
        "submit job {\"id\": \"j1\", \"team\": \"prints\", \"class\": \"slow\"}",
        "set pool quotes budget.absent = 2; show hosts where stat = serving",
        "show hosts limit 1\nshow hots\ndrain cupboard c1",
    };
    for (const auto* it : mistakes)
    {
        s.execute(it);
    }
    s.submit("nowhere", jobs_text());
    s.submit("quotes", R"({"jobs": [{"id": "j1"}]})");
    s.submit("quotes",
        R"({"jobs": [{"id": "j1", "team": "print", "class": "normal", "run_time_ms": 1000, )"
        R"("declared": {"processors": 4, "memory_gb": 8}}]})");
    s.execute("show waves; show experiments; show jobs; show config");
    return s.text();
}

} // namespace

TEST_GROUP(session){};

TEST(session, an_operators_day_matches_the_golden_transcript)
{
    STRCMP_EQUAL("", compare_with_golden("operators_day.txt", operators_day()).c_str());
}

TEST(session, mistakes_match_the_golden_transcript)
{
    STRCMP_EQUAL("", compare_with_golden("mistakes.txt", day_of_mistakes()).c_str());
}

TEST(session, a_second_run_is_byte_identical)
{
    STRCMP_EQUAL(operators_day().c_str(), operators_day().c_str());
}
