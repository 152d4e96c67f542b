#include "good_run.hpp"
#include "promises.hpp"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::checker;
using model::host_state;

namespace
{

struct broken_row
{
    const char* name;
    promise which;
    const char* subject; ///< expected part of the breach's subject
    std::function<void(records&)> breaks;
};

call& add_call(records& r, const call& c)
{
    r.calls.push_back(c);
    return r.calls.back();
}

void add_broken_call(records& r, const char* entry, std::int64_t after_ms, const char* reason)
{
    auto& it = add_call(r, call_of("r9", false, after_ms));
    it.entry = entry;
    it.outcome = "broken";
    it.reason = reason;
}

/// Drains a host of \p zone while another host of the pool, in zone a, is already absent.
void add_second_drain(
    records& r, const char* zone, host_state first, int absent, std::int64_t config_ms)
{
    const auto h4 = in_state(host("h4", "a"), first);
    write(r, model::keys::config, config_of(3, absent), config_ms);
    r.adoptions.push_back({"entry-1", 3, begin_of_run + config_ms + 50});
    r.adoptions.push_back({"entry-2", 3, begin_of_run + config_ms + 50});
    auto h5 = host("h5", zone);
    auto moved = host("h3", "b");
    moved.ownership = 2;
    write(r, pool("holds", {h4, h5, moved}), 20000);
    write(r, pool("holds", {h4, in_state(h5, host_state::draining), moved}), 20100);
    write(r, pool("holds", {h4, h5, moved}), 20200);
}

const std::vector<broken_row>& broken_rows()
{
    static const std::vector<broken_row> rows = {
        {"a drain beyond the pool's budget",
            promise::budget,
            "host=h5",
            [](records& r)
            {
                add_second_drain(r, "b", host_state::draining, 1, 6000);
            }},
        {"a drain beyond the zone's budget",
            promise::budget,
            "host=h5",
            [](records& r)
            {
                add_second_drain(r, "a", host_state::draining, 2, 6000);
            }},
        {"a drain while a failed host uses up the budget",
            promise::budget,
            "host=h5",
            [](records& r)
            {
                add_second_drain(r, "b", host_state::failed, 1, 6000);
            }},
        {"a host in the hosts of two pools",
            promise::one_pool,
            "host=h1",
            [](records& r)
            {
                write(r, pool("holds", {host("h1", "a")}), 20000);
            }},
        {"a host that no pool has any more",
            promise::one_pool,
            "host=h2",
            [](records& r)
            {
                write(r, pool("quotes", {host("h1", "a")}), 20000);
            }},
        {"a host taken back with an old number",
            promise::one_pool,
            "host=h3",
            [](records& r)
            {
                write(r, pool("holds", {host("h4", "a")}), 20000);
                write(
                    r, pool("quotes", {host("h1", "a"), host("h2", "b"), host("h3", "a")}), 20100);
            }},
        {"an answer that is not one's own",
            promise::complete_own_answer,
            "id=r1",
            [](records& r)
            {
                r.calls[0].own = false;
            }},
        {"an answer to a request that never ran",
            promise::complete_own_answer,
            "id=r1",
            [](records& r)
            {
                r.runs.erase("r1");
            }},
        {"an answer without an outcome",
            promise::complete_own_answer,
            "id=r1",
            [](records& r)
            {
                r.calls[0].outcome.clear();
            }},
        {"told not-run, and it ran",
            promise::not_run,
            "id=r3",
            [](records& r)
            {
                r.runs["r3"] = {{"h1", begin_of_run + 710}};
            }},
        {"told not-sent on the first call with a key, and it ran",
            promise::not_run,
            "id=r2",
            [](records& r)
            {
                r.calls[1].outcome = "unknown";
                r.calls[1].attempt = "not-sent";
            }},
        {"told not-run, and it ran before the next call of its id",
            promise::not_run,
            "id=r3",
            [](records& r)
            {
                add_call(r, call_of("r3", true, 2000));
                r.runs["r3"] = {{"h2", begin_of_run + 1500}};
            }},
        {"a key told not-run after its run",
            promise::not_run,
            "id=r2",
            [](records& r)
            {
                add_call(r, call_of("r2", true, 900)).outcome = "not-run";
            }},
        {"a key that ran twice",
            promise::at_most_once,
            "id=r2",
            [](records& r)
            {
                r.runs["r2"].push_back({"h1", begin_of_run + 650});
                r.duplicates["r2"] = r.runs["r2"];
            }},
        {"a run-once job that was started twice",
            promise::at_most_once,
            "job=j1",
            [](records& r)
            {
                r.starts.push_back({"j1/1.2", "h4", begin_of_run + 950, 0, "finished"});
            }},
        {"a request long after its target's mark",
            promise::no_requests_when_leaving,
            "id=r1",
            [](records& r)
            {
                write(r,
                    pool("quotes",
                        {in_state(host("h1", "a"), host_state::draining), host("h2", "b")}),
                    20000);
                r.runs["r1"].push_back({"h1", begin_of_run + 25001});
            }},
        {"a request long after the platform's mark",
            promise::no_requests_when_leaving,
            "id=r1",
            [](records& r)
            {
                r.faults.push_back(
                    {"leaving", "", "", {"h4"}, begin_of_run + 20000, begin_of_run + 30000});
                r.runs["r1"].push_back({"h4", begin_of_run + 25001});
            }},
        {"a planned stop cut requests off",
            promise::graceful_stop,
            "host=h2",
            [](records& r)
            {
                r.targets[1] = {"h2", 5, 2, 1};
            }},
        {"requests cut off at a host that never failed",
            promise::graceful_stop,
            "host=h1",
            [](records& r)
            {
                r.targets[0].cut_off = 1;
            }},
        {"a planned reboot under a task",
            promise::graceful_stop,
            "task=j2/1.1",
            [](records& r)
            {
                r.starts[1].ended_ms = begin_of_run + 2000;
            }},
        {"a call broken where nothing failed",
            promise::graceful_stop,
            "id=r9",
            [](records& r)
            {
                add_broken_call(r, "127.0.0.1:1001", 3000, "Server returned nothing");
            }},
        {"a call broken by a graceful stop",
            promise::graceful_stop,
            "id=r9",
            [](records& r)
            {
                add_broken_call(r, "127.0.0.1:1002", 9100, "Server returned nothing");
            }},
        {"an older configuration written over a newer one",
            promise::config_adopted_and_kept,
            "revision=",
            [](records& r)
            {
                write(r, model::keys::config, config_of(1, 1), 20000);
            }},
        {"a configuration deleted",
            promise::config_adopted_and_kept,
            "revision=",
            [](records& r)
            {
                r.history.push_back({model::keys::config, 99, 0, true, ""});
            }},
        {"a daemon that goes back to an older version",
            promise::config_adopted_and_kept,
            "member=entry-2",
            [](records& r)
            {
                r.adoptions.push_back({"entry-2", 1, begin_of_run + 9000});
            }},
        {"a daemon that learns too late",
            promise::config_adopted_and_kept,
            "member=entry-2 version=2",
            [](records& r)
            {
                r.adoptions[3].at_ms = begin_of_run + 40000;
            }},
    };
    return rows;
}

struct held_row
{
    const char* name;
    std::function<void(records&)> changes;
};

const std::vector<held_row>& held_rows()
{
    static const std::vector<held_row> rows = {
        {"as it is",
            [](records&) {
            }},
        {"a drain within the budgets",
            [](records& r)
            {
                add_second_drain(r, "b", host_state::draining, 2, 6000);
            }},
        {"a drain by a configuration that was replaced a moment ago",
            [](records& r)
            {
                add_second_drain(r, "b", host_state::draining, 2, 6000);
                const auto at = r.history.size() - 3;
                r.history.insert(r.history.begin() + static_cast<std::ptrdiff_t>(at),
                    {model::keys::config,
                        90,
                        begin_of_run + 16000,
                        false,
                        model::encode(config_of(4, 1))});
                r.adoptions.push_back({"entry-1", 4, begin_of_run + 16050});
                r.adoptions.push_back({"entry-2", 4, begin_of_run + 16050});
            }},
        {"a call broken by a kill",
            [](records& r)
            {
                add_broken_call(r, "127.0.0.1:1001", 9100, "Server returned nothing");
            }},
        {"a call refused while a stopped daemon is replaced",
            [](records& r)
            {
                add_broken_call(r, "127.0.0.1:1002", 9100, "Couldn't connect to server");
            }},
        {"a request without a key that ran twice",
            [](records& r)
            {
                r.runs["r1"].push_back({"h2", begin_of_run + 510});
            }},
        {"a request within seconds of its target's mark",
            [](records& r)
            {
                r.runs["r1"].push_back({"h1", begin_of_run + 1900});
            }},
        {"a daemon that learns late since it was paused",
            [](records& r)
            {
                r.adoptions[3].at_ms = begin_of_run + 40000;
                r.faults.push_back({"pause",
                    "entry-2",
                    "127.0.0.1:1002",
                    {},
                    begin_of_run + 4900,
                    begin_of_run + 39000});
            }},
    };
    return rows;
}

} // namespace

TEST_GROUP(promises){};

TEST(promises, a_run_without_a_breach_passes)
{
    for (const auto& row : held_rows())
    {
        auto r = good_run();
        row.changes(r);
        const auto found = check_promises(r, {}).breaches;
        CHECK_TEXT(found.empty(),
            (std::string(row.name) + (found.empty() ? "" : ": " + found[0].detail)).c_str());
    }
}

TEST(promises, each_breach_is_reported_under_its_promise)
{
    for (const auto& row : broken_rows())
    {
        auto r = good_run();
        row.breaks(r);
        const auto found = check_promises(r, {}).breaches;
        CHECK_TEXT(!found.empty(), row.name);
        for (const auto& it : found)
        {
            LONGS_EQUAL_TEXT(static_cast<int>(row.which), static_cast<int>(it.which), row.name);
        }
        STRCMP_CONTAINS_TEXT(row.subject, found.front().subject.c_str(), row.name);
    }
}

TEST(promises, checks_are_counted)
{
    const auto v = check_promises(good_run(), {});
    LONGS_EQUAL(1, v.drains);
    LONGS_EQUAL(1, v.reboots);
    LONGS_EQUAL(1, v.moves);
    LONGS_EQUAL(3, v.requests);
    LONGS_EQUAL(2, v.keyed);
    LONGS_EQUAL(1, v.run_once);
    LONGS_EQUAL(2, v.versions);
}
