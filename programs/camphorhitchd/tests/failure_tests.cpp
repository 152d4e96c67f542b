#include "membership/owners.hpp"
#include "test_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

namespace
{

constexpr core::millis answer_bound{15000};
/// Freshness, margin and a few rounds: nobody acts under an older roster any more.
constexpr core::millis take_over_bound{30000};

/// \param viewer whose roster tells.
std::size_t owner_of_quotes(test_fleet& fleet, std::size_t viewer)
{
    const auto* owner =
        membership::owner_of_pool(fleet.at(viewer).all->members->roster(), "quotes");
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
    std::size_t other = 0; ///< not the owner
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
    outcome call(test_daemon & d, const std::string& body, const std::string& key = {})
    {
        const auto id = test_fleet::request(d, "quotes", body, key);
        fleet.run_until([&] { return d.callers.find(id) != nullptr; }, answer_bound);
        return outcome_of(d, id);
    }
    bool serves(test_daemon & d, const std::string& body)
    {
        return call(d, body).word == "answered";
    }
    /// \return whether requests get through \p d before the bound.
    bool serves_soon(test_daemon & d, const std::string& body)
    {
        const auto end = fleet.time.now() + take_over_bound;
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

// The owner of the pool's permits is killed. Callers at the others are refused or wait for a while,
// then another owns the pool: no target is set aside, and none gets more than its slots.
TEST(failures, owner_killed)
{
    fleet.at(owner).process.dead = true;
    CHECK(serves_soon(fleet.at(other), "a"));
    CHECK(serves_soon(fleet.at(third), "b"));
    CHECK(owner != owner_of_quotes(fleet, other));
    LONGS_EQUAL(2, fleet.at(other).all->members->roster().members.size());
    check_slots();
}

// The owner is paused with a request of a caller of its own in hand, the others replace it, and
// then it wakes with its old view. It must hold back until it is fresh again: the request may only
// then be sent, and a target never runs more than its slots.
TEST(failures, owner_paused_with_an_old_view)
{
    auto& old = fleet.at(owner);
    const auto id = test_fleet::request(old, "quotes", "held");
    old.process.paused = true;
    CHECK(serves_soon(fleet.at(other), "a"));
    fleet.run_for(take_over_bound);
    const auto epoch = fleet.at(other).all->members->roster().epoch;
    CHECK(old.all->members->roster().epoch < epoch);
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
    CHECK_FALSE(old.all->members->fresh());
    fleet.run_for(answer_bound);
    CHECK(fleet.targets.runs_of("held") <= 1);
    const auto told = outcome_of(old, id);
    CHECK(told.word != "not-run" || fleet.targets.runs_of("held") == 0);
    for (const auto it : asked)
    {
        STRCMP_EQUAL("answered", outcome_of(fleet.at(other), it).word.c_str());
    }
    check_slots();
    CHECK(serves_soon(old, "again"));
}

// The owner loses its peers, not the store: the others take it out of the roster while it is fresh
// by the store's last word, and so it grants on for a while. Its successor must not grant
// meanwhile, or a target gets the slots of two owners at once.
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
    CHECK_FALSE(old.all->members->in_roster());
    check_slots();
    CHECK(serves_soon(fleet.at(other), "a"));
}

// The owner is killed while another member is paused. The new owner can't hear the paused one, and
// must wait until that one is stale, not for the whole grace of an outage: callers at the others
// are served again within seconds.
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

// One entry host loses the store while the others keep it: they may change the roster without its
// knowledge, so it stops by itself and says "not-run"; the others go on. With the store back it
// serves again.
TEST(failures, cut_off_from_the_store)
{
    auto& lonely = fleet.at(other);
    lonely.process.store_cut = true;
    fleet.run_for(take_over_bound);
    const auto told = call(lonely, "lonely");
    LONGS_EQUAL(503, told.status);
    STRCMP_EQUAL("not-run", told.word.c_str());
    LONGS_EQUAL(0, fleet.targets.runs_of("lonely"));
    CHECK(serves_soon(fleet.at(third), "a"));
    CHECK(serves_soon(fleet.at(owner), "b"));
    lonely.process.store_cut = false;
    CHECK(serves_soon(lonely, "back"));
}

// A caller's keyed request is in one entry host's hands when that is paused: before it asked for
// the claim, while it waits, or with the request at the target. The caller repeats it through
// another. Whatever each is told, the request runs once at most, also when the first wakes.
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
        CHECK(repeat.word != "answered" || fleet.targets.runs_of(body) == 1);
        fleet.run_for(take_over_bound);
        const auto late = call(fleet.at(third), body, key);
        CHECK(late.status != 0);
        fleet.time.resume(first.process);
        fleet.run_for(take_over_bound);
        CHECK(fleet.targets.runs_of(body) <= 1);
        const auto told = outcome_of(first, id);
        CHECK(told.word != "answered" || fleet.targets.runs_of(body) == 1);
        CHECK(serves_soon(first, "between"));
    }
    CHECK(sent_before > 0); // some rows pause it with the request at the target,
    CHECK(sent_before < n); // and some before
}

// An entry host is told to stop with a request at the target. The caller in flight gets its answer,
// a new one is told to go elsewhere, and only then does the process end, out of the roster.
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
    d.all->stopping->begin([&] { ended = true; });
    const auto refused = call(d, "late");
    STRCMP_EQUAL("not-run", refused.word.c_str());
    STRCMP_EQUAL("stopping", refused.reason.c_str());
    CHECK_FALSE(ended);
    CHECK(fleet.run_until([&] { return ended; }, take_over_bound));
    STRCMP_EQUAL("answered", outcome_of(d, id).word.c_str());
    CHECK_FALSE(d.all->members->in_roster());
    CHECK(d.log.has("why=handed_over"));
}

// A host is to be maintained while a request runs on it. Its permit is out, so it stays draining,
// and is rebooted only after the answer came; the caller notices nothing.
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
    CHECK(fleet.run_until([&] { return !fleet.platform.hosts[host].up; }, take_over_bound));
    STRCMP_EQUAL("answered", outcome_of(d, id).word.c_str());
}

// The key-value service is down for 60 s. Requests go on at every entry host, those with a key
// too; a change is told to be unavailable, and is not there afterwards.
TEST(failures, the_service_is_down_for_a_minute)
{
    fleet.store.set_down(true);
    for (int second = 0; second < 60; ++second)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            const auto n = std::to_string(second) + "-" + std::to_string(i);
            STRCMP_EQUAL("answered", call(fleet.at(i), "plain" + n).word.c_str());
            STRCMP_EQUAL("answered", call(fleet.at(i), "keyed" + n, "key" + n).word.c_str());
            LONGS_EQUAL(1, fleet.targets.runs_of("keyed" + n));
        }
        fleet.run_for(core::millis{900});
    }
    const auto told = fleet.execute(fleet.at(0), "set pool quotes budget.absent = 2", "in-vain");
    STRNCMP_EQUAL("unavailable: ", told.text.c_str(), 13);
    fleet.store.set_down(false);
    fleet.run_for(take_over_bound);
    CHECK(serves(fleet.at(0), "after"));
    LONGS_EQUAL(1, fleet.at(0).all->config->current().version);
}
