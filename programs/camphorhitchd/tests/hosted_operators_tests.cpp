#include "hosted_fakes/cluster.hpp"
#include "hosted_operators.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace camphorhitch;
using namespace camphorhitch::daemon;
using namespace camphorhitch::hosted_fakes;
using workflow::job_state;

TEST_GROUP(hosted_operators)
{
    cluster c;
    hosted::fleet_config config;
    core::mono_time config_confirmed_at; ///< time of the store's last answer
    ports::http_server server;
    std::optional<ports::http_response> answer;
    std::unique_ptr<hosted_operators> operators;
    ports::http_events events;

    void begin()
    {
        c.hosts.add("p");
        c.hosts.add("p");
        auto& n = c.add_node();
        config.version = 3;
        config.queues.push_back({"q", "", "", "p", 1, 2, 1.5, core::millis{600}, false});
        config.pools.push_back({"p", false});
        server.respond = [this](ports::exchange_id, ports::http_response it)
        {
            answer = std::move(it);
        };
        operators = std::make_unique<hosted_operators>(hosted_sources{n.ctx,
                                                           n.formats,
                                                           *n.desk,
                                                           *n.lead,
                                                           *n.driver,
                                                           [this] { return &config; },
                                                           [this]
                                                           {
                                                               return config_confirmed_at;
                                                           }},
            "secret");
        events = operators->events([this]() -> const ports::http_server& { return server; });
        CHECK(c.has_leader());
        c.time.run_for(1s);
    }

    ports::http_response call(
        const std::string& path, const std::string& token, const std::string& body)
    {
        answer.reset();
        ports::http_request r;
        r.method = "POST";
        r.path = path;
        r.fields = {{"Authorization", "Bearer " + token}};
        r.body = body;
        events.on_request(1, r);
        CHECK(c.time.run_until([this] { return answer.has_value(); }, 8s));
        return answer.value_or(ports::http_response{});
    }

    /// \return the results of the statements.
    nlohmann::json execute(const std::string& statements)
    {
        const nlohmann::json body = {{"text", statements}, {"name", "argument"}, {"command", "c1"}};
        const auto it = call("/v1/execute", "secret", body.dump());
        LONGS_EQUAL(200, it.status);
        return nlohmann::json::parse(it.body).at("results");
    }

    /// Expects one result.
    void expect(const std::string& statement, const char* code, const char* text)
    {
        const auto all = execute(statement);
        LONGS_EQUAL_TEXT(1, all.size(), statement.c_str());
        STRCMP_EQUAL_TEXT(code, all[0].at("code").get<std::string>().c_str(), statement.c_str());
        STRCMP_CONTAINS_TEXT(text, all[0].at("text").get<std::string>().c_str(), statement.c_str());
    }
};

TEST(hosted_operators, a_job_is_submitted_listed_explained_and_completed)
{
    begin();
    auto j = c.make_job("a", 2, 2);
    c.hosts.expect(j);
    expect(R"(submit job {"id": "a", "queue": "q", "steps": [
        {"tasks": 2, "cpu": 1000, "estimate_ms": 400},
        {"tasks": 2, "cpu": 1000, "estimate_ms": 400, "after": [0]}]})",
        "ok",
        "accepted");
    c.time.run_for(200ms);
    expect("why job a", "ok", "step 0: 0 of 2 tasks done, 2 on r");
    expect("why job a", "ok", "step 1: 0 of 2 tasks done, 2 wait: after step 0");
    const auto rows = execute("show jobs where queue = q")[0].at("data");
    LONGS_EQUAL(1, rows.size());
    STRCMP_EQUAL("p", rows[0].at("pool").get<std::string>().c_str());
    LONGS_EQUAL(4, rows[0].at("tasks").get<int>());
    CHECK(c.ends("a", job_state::completed, 4s));
    expect("why job a", "ok", "job a is completed");
    expect("show jobs where state = completed", "ok", "a");
    STRCMP_EQUAL("", c.breaches().c_str());
}

TEST(hosted_operators, errors_are_reported_with_their_position)
{
    begin();
    expect(R"(submit job {"id": "a", "queue": "q", "steps": [{"task": 2}]})",
        "refused",
        "/steps/0/task");
    expect(R"(submit job {"id": "a", "queue": "q", "steps": [{"after": [0]}]})",
        "refused",
        "step 0 waits for itself");
    expect(R"(submit job {"id": "a", "queue": "q", "steps": [{"cpu": -1}]})",
        "refused",
        "/steps/0/cpu");
    expect(R"(submit job {"id": "a", "queue": "q", "steps": []})", "refused", "at least 1 step");
    expect(R"(submit job {"id": "a.b", "queue": "q", "steps": [{}]})", "refused", "no dot");
    expect(R"(submit job {"id": "a", "queue": "z", "steps": [{}]})", "refused", "no queue named z");
    expect("show hots", "refused", "did you mean 'hosts'?");
    expect("show hosts where zne = a", "refused", "no field 'zne'");
    expect("why job zz", "refused", "no job named zz");
    expect("cancel job zz", "refused", "no job named zz");
    expect("drain host h1", "refused", "its own operators'");
    LONGS_EQUAL(0, c.hosts.starts);
}

TEST(hosted_operators, tables_of_hosts_pools_and_configuration)
{
    begin();
    LONGS_EQUAL(2, execute("show hosts where pool = p")[0].at("data").size());
    expect("show pools", "ok", "p");
    expect("show config where setting = version", "ok", "3");
}

// The store has not answered this node for some time, so the configuration that the node shows may
// be outdated. Without its age an operator could not see that.
TEST(hosted_operators, the_configuration_is_shown_with_its_age)
{
    begin();
    config_confirmed_at = c.time.now();
    c.time.run_for(4s);
    expect("show config where setting = store_answered", "ok", "4000 ms ago");
}

// No host has free capacity for the remaining tasks of a step. The explanation must say so without
// a call to the store.
TEST(hosted_operators, waiting_for_capacity_is_explained)
{
    begin();
    c.hosts.behaviour.run_time = 5s;
    auto j = c.make_job("a", 20);
    c.put_job(j);
    c.time.run_for(300ms);
    expect("why job a", "ok", "16 on ");
    expect("why job a", "ok", "4 wait: none of the 2 hosts of pool p may take one");
}

// The coordinator's machine is suspended for a minute and resumes before it learns that another
// node has taken over. An operator asks the node why a job waits. Its state of a minute ago must
// not be reported as current: the runners of its tasks may be gone, and it no longer coordinates.
TEST(hosted_operators, a_resumed_coordinator_explains_only_the_stored_state)
{
    core::millis suspended_for{0};
    c.customize_node = [&](node& n)
    {
        n.ctx.boot_now = [&]
        {
            return c.time.now() + suspended_for;
        };
    };
    begin();
    c.hosts.behaviour.run_time = 5s;
    c.put_job(c.make_job("a", 2));
    c.time.run_for(300ms);
    expect("why job a", "ok", "2 on r");
    suspended_for = 60s;
    expect("why job a", "ok", "step 0: 0 of 2 tasks stored as done");
    expect("why job a", "ok", "no node is known here to coordinate");
}

// The coordinator reads new jobs late and has no record of a job that an operator asks about. An
// answer that refers the operator to the coordinating node would refer the operator to this same
// node.
TEST(hosted_operators, a_coordinator_reports_that_it_has_not_read_a_job_yet)
{
    bool watch_blocked = false;
    c.customize_node = [&](node& n)
    {
        n.ctx.store.watch = [&, real = n.ctx.store.watch](
                                const std::string& prefix, auto after, auto wait, const auto& done)
        {
            if (!watch_blocked || prefix != hosted::job_prefix)
            {
                real(prefix, after, wait, done);
            }
        };
    };
    begin();
    watch_blocked = true;
    c.put_job(c.make_job("a", 1)); // completes the pending watch
    c.time.run_for(1s);
    c.put_job(c.make_job("b", 1));
    c.time.run_for(1s);
    expect("why job b", "ok", "this node coordinates and has not read the job yet");
}

TEST(hosted_operators, a_cancel_stops_a_job)
{
    begin();
    c.hosts.behaviour.run_time = 5s;
    c.put_job(c.make_job("a", 2));
    c.time.run_for(300ms);
    expect("cancel job a", "ok", "cancelled");
    expect("show jobs where state = cancelled", "ok", "a");
    CHECK(c.ends("a", job_state::cancelled, 2s));
    CHECK(c.time.run_until([this] { return c.running() == 0; }, 2s));
}

// The store is unavailable. Operators must be told that the command had no effect or may have had
// one, never that the job does not exist.
TEST(hosted_operators, an_unavailable_store_is_reported)
{
    begin();
    c.put_job(c.make_job("a", 2));
    c.time.run_for(100ms);
    c.store.busy = true;
    expect("show jobs", "unavailable", "can't be read");
    expect("why job a", "unavailable", "can't be read");
    expect(R"(submit job {"id": "b", "queue": "q", "steps": [{}]})",
        "unavailable",
        "certainly not accepted");
    expect("cancel job a", "unavailable", "certainly not cancelled");
}

TEST(hosted_operators, a_call_without_the_token_is_refused)
{
    begin();
    LONGS_EQUAL(401, call("/v1/execute", "guess", "{}").status);
    LONGS_EQUAL(400, call("/v1/execute", "secret", "{}").status);
    LONGS_EQUAL(404, call("/v1/jobs", "secret", "{}").status);
}
