#include "membership/owners.hpp"
#include "test_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

namespace
{

constexpr core::millis answer_bound{15000};
/// Covers freshness time, margin and a few rounds, after which no process acts under an older
/// roster.
constexpr core::millis takeover_bound{30000};

/// \param viewer index of the daemon whose roster is used.
std::size_t owner_of_quotes(test_fleet& fleet, std::size_t viewer)
{
    const auto* owner =
        membership::owner_of_pool(fleet.at(viewer).daemon_services->members->roster(), "quotes");
    for (std::size_t i = 0; i < fleet.daemons.size(); ++i)
    {
        if (owner != nullptr && fleet.at(i).ctx.self.id == owner->id)
        {
            return i;
        }
    }
    FAIL("no owner");
    return 0;
}

} // namespace

TEST_GROUP(failures)
{
    test_fleet fleet{3};
    std::size_t owner = 0;
    std::size_t other = 0; ///< a member that is not the owner
    std::size_t third = 0;

    void setup() override
    {
        add_hosts(fleet, 3);
        CHECK(fleet.wait_ready());
        CHECK(fleet.apply(fleet.at(0), small_fleet(3), "first").answered);
        CHECK(fleet.wait_serving());
        owner = owner_of_quotes(fleet, 0);
        other = (owner + 1) % 3;
        third = (owner + 2) % 3;
        for (std::size_t i = 0; i < 3; ++i)
        {
            CHECK(serves_soon(fleet.at(i), "warm"));
        }
    }
    caller_answer call(test_daemon & d, const std::string& body, const std::string& key = {})
    {
        const auto id = test_fleet::request(d, "quotes", body, key);
        fleet.run_until([&] { return d.callers.find(id) != nullptr; }, answer_bound);
        return caller_answer_of(d, id);
    }
    bool serves(test_daemon & d, const std::string& body)
    {
        return call(d, body).outcome == "answered";
    }
    /// \return whether a request through \p d is answered within the bound.
    bool serves_soon(test_daemon & d, const std::string& body)
    {
        const auto end = fleet.time.now() + takeover_bound;
        int n = 0;
        while (fleet.time.now() < end)
        {
            if (serves(d, body + std::to_string(++n)))
            {
                return true;
            }
            fleet.run_for(core::millis{200});
        }
        return false;
    }
    void check_slots()
    {
        for (const auto& [address, it] : fleet.targets.all)
        {
            CHECK(it.max_running <= it.slots);
        }
    }
};

// The owner of the pool's permits is killed. Callers at the other members are refused or wait until
// another member owns the pool. No target may be excluded, and none may get more requests than its
// slots.
TEST(failures, owner_killed)
{
    fleet.at(owner).process.dead = true;
    CHECK(serves_soon(fleet.at(other), "a"));
    CHECK(serves_soon(fleet.at(third), "b"));
    CHECK(owner != owner_of_quotes(fleet, other));
    LONGS_EQUAL(2, fleet.at(other).daemon_services->members->roster().members.size());
    check_slots();
}

// The owner is paused while it handles a request of its own caller, the other members replace it,
// and then it resumes with its old roster. The previous owner must not send the request before it
// is fresh again, and a target must never run more requests than its slots.
TEST(failures, owner_paused_with_an_old_roster)
{
    auto& old = fleet.at(owner);
    const auto id = test_fleet::request(old, "quotes", "held");
    old.process.paused = true;
    CHECK(serves_soon(fleet.at(other), "a"));
    fleet.run_for(takeover_bound);
    const auto epoch = fleet.at(other).daemon_services->members->roster().epoch;
    CHECK(old.daemon_services->members->roster().epoch < epoch);
    std::vector<ports::exchange_id> asked;
    for (int i = 0; i < 40; ++i)
    {
        asked.push_back(
            test_fleet::request(fleet.at(other), "quotes", "other" + std::to_string(i)));
    }
    for (int i = 0; i < 40; ++i)
    {
        test_fleet::request(old, "quotes", "old" + std::to_string(i));
    }
    fleet.time.resume(old.process);
    CHECK_FALSE(old.daemon_services->members->fresh());
    fleet.run_for(answer_bound);
    CHECK(fleet.targets.runs_of("held") <= 1);
    const auto answer = caller_answer_of(old, id);
    CHECK(answer.outcome != "not-run" || fleet.targets.runs_of("held") == 0);
    for (const auto it : asked)
    {
        STRCMP_EQUAL("answered", caller_answer_of(fleet.at(other), it).outcome.c_str());
    }
    check_slots();
    CHECK(serves_soon(old, "again"));
}

// The owner loses the connection to its peers, but not to the store. The other members remove it
// from the roster while the store's last confirmation keeps it fresh, so it continues to grant for
// a while. Its successor must not grant meanwhile, or a target gets the slots of two owners at
// once.
TEST(failures, owner_cut_off_from_its_peers)
{
    for (auto& [address, it] : fleet.targets.all)
    {
        it.run_time = core::millis{1500};
    }
    auto& old = fleet.at(owner);
    old.process.peers_cut = true;
    for (int i = 0; i < 100; ++i)
    {
        for (int n = 0; n < 4; ++n)
        {
            const auto body = std::to_string(i) + "-" + std::to_string(n);
            test_fleet::request(old, "quotes", "old" + body);
            test_fleet::request(fleet.at(other), "quotes", "new" + body);
        }
        fleet.run_for(core::millis{100});
    }
    CHECK_FALSE(old.daemon_services->members->in_roster());
    check_slots();
    CHECK(serves_soon(fleet.at(other), "a"));
}

// The owner is killed while another member is paused. The new owner gets no report from the paused
// member and must wait until that member is stale, but not for the whole outage grace time: callers
// at the other members must be served again within seconds.
TEST(failures, owner_killed_while_another_is_paused)
{
    fleet.add("e4", "e4-first");
    fleet.add("e5", "e5-first");
    CHECK(fleet.wait_ready());
    owner = owner_of_quotes(fleet, 0);
    other = (owner + 1) % 5;
    CHECK(serves_soon(fleet.at(other), "before"));
    fleet.at(owner).process.dead = true;
    fleet.at((owner + 2) % 5).process.paused = true;
    CHECK(serves_soon(fleet.at(other), "a"));
    CHECK(serves_soon(fleet.at((owner + 3) % 5), "b"));
    check_slots();
}

// One entry host loses the store while the others still reach it. The others may change the roster
// without that entry host's knowledge, so it must stop serving and answer "not-run", while the
// others continue. When it reaches the store again, it serves again.
TEST(failures, cut_off_from_the_store)
{
    auto& isolated = fleet.at(other);
    isolated.process.store_cut = true;
    fleet.run_for(takeover_bound);
    const auto answer = call(isolated, "lonely");
    LONGS_EQUAL(503, answer.status);
    STRCMP_EQUAL("not-run", answer.outcome.c_str());
    LONGS_EQUAL(0, fleet.targets.runs_of("lonely"));
    CHECK(serves_soon(fleet.at(third), "a"));
    CHECK(serves_soon(fleet.at(owner), "b"));
    isolated.process.store_cut = false;
    CHECK(serves_soon(isolated, "back"));
}

// An entry host is paused while it handles a request with a key: before it requests the claim,
// while it waits for the claim, or while the target runs the request. The caller repeats the
// request through another entry host. The request must run at most once, also after the first entry
// host resumes, and no answer may contradict that.
TEST(failures, keyed_request_repeated_while_its_executor_is_paused)
{
    int n = 0;
    int sent_before = 0;
    for (const int pause_at : {0, 1, 3, 5, 8, 12})
    {
        const auto key = "key-" + std::to_string(++n);
        const auto body = "once-" + std::to_string(n);
        auto& first = fleet.at(other);
        const auto id = test_fleet::request(first, "quotes", body, key);
        fleet.run_for(core::millis{pause_at});
        first.process.paused = true;
        sent_before += fleet.targets.runs_of(body);
        fleet.run_for(core::millis{500});
        const auto repeat = call(fleet.at(third), body, key);
        CHECK(repeat.status != 0);
        CHECK(repeat.outcome != "answered" || fleet.targets.runs_of(body) == 1);
        fleet.run_for(takeover_bound);
        const auto late = call(fleet.at(third), body, key);
        CHECK(late.status != 0);
        fleet.time.resume(first.process);
        fleet.run_for(takeover_bound);
        CHECK(fleet.targets.runs_of(body) <= 1);
        const auto answer = caller_answer_of(first, id);
        CHECK(answer.outcome != "answered" || fleet.targets.runs_of(body) == 1);
        CHECK(serves_soon(first, "between"));
    }
    CHECK(sent_before > 0); // some rows pause the entry host while the target runs the request,
    CHECK(sent_before < n); // and some before the send
}

// An entry host is stopped while a target runs one of its requests. The caller of that request must
// get its answer and a new caller must be refused with reason "stopping". The process may end only
// then, after it has left the roster.
TEST(failures, graceful_stop_with_a_request_in_flight)
{
    auto& d = fleet.at(other);
    for (auto& [address, it] : fleet.targets.all)
    {
        it.run_time = core::millis{3000};
    }
    const auto id = test_fleet::request(d, "quotes", "in-flight");
    CHECK(fleet.run_until(
        [&] { return fleet.targets.runs_of("in-flight") == 1; }, core::millis{1000}));
    bool ended = false;
    d.daemon_services->stopping->begin([&] { ended = true; });
    const auto refused = call(d, "late");
    STRCMP_EQUAL("not-run", refused.outcome.c_str());
    STRCMP_EQUAL("stopping", refused.reason.c_str());
    CHECK_FALSE(ended);
    CHECK(fleet.run_until([&] { return ended; }, takeover_bound));
    STRCMP_EQUAL("answered", caller_answer_of(d, id).outcome.c_str());
    CHECK_FALSE(d.daemon_services->members->in_roster());
    CHECK(d.log.has("why=handed_over"));
}

// A host is drained while a request runs on it. The request holds a permit, so the host must stay
// draining and may be rebooted only after the answer; the caller must get a normal answer.
TEST(failures, a_drain_waits_for_a_permit)
{
    for (auto& [address, it] : fleet.targets.all)
    {
        it.run_time = core::millis{6000};
    }
    auto& d = fleet.at(other);
    const auto id =
        test_fleet::request(d, "quotes", "slow", {}, {{"Camphorhitch-Deadline-Ms", "10000"}});
    CHECK(fleet.run_until([&] { return fleet.targets.runs_of("slow") == 1; }, core::millis{1000}));
    std::string host;
    for (const auto& [name, it] : fleet.platform.hosts)
    {
        host = fleet.targets.all[it.target].running > 0 ? name : host;
    }
    CHECK(fleet.execute(fleet.at(owner), "drain host " + host, "drain-it").answered);
    fleet.run_for(core::millis{4000});
    CHECK(fleet.platform.hosts[host].up);
    CHECK(d.callers.find(id) == nullptr);
    CHECK(fleet.run_until([&] { return !fleet.platform.hosts[host].up; }, takeover_bound));
    STRCMP_EQUAL("answered", caller_answer_of(d, id).outcome.c_str());
}

// The key-value service is down for 60 s. Every entry host must continue to serve requests, with
// and without keys. A change must be answered with "unavailable" and must not be in force
// afterwards.
TEST(failures, the_store_is_down_for_a_minute)
{
    fleet.store.set_down(true);
    for (int second = 0; second < 60; ++second)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            const auto n = std::to_string(second) + "-" + std::to_string(i);
            STRCMP_EQUAL("answered", call(fleet.at(i), "plain" + n).outcome.c_str());
            STRCMP_EQUAL("answered", call(fleet.at(i), "keyed" + n, "key" + n).outcome.c_str());
            LONGS_EQUAL(1, fleet.targets.runs_of("keyed" + n));
        }
        fleet.run_for(core::millis{900});
    }
    const auto answer = fleet.execute(fleet.at(0), "set pool quotes budget.absent = 2", "in-vain");
    STRNCMP_EQUAL("unavailable: ", answer.text.c_str(), 13);
    fleet.store.set_down(false);
    fleet.run_for(takeover_bound);
    CHECK(serves(fleet.at(0), "after"));
    LONGS_EQUAL(1, fleet.at(0).daemon_services->config->current().version);
}
