#include "forecast_digest.hpp"
#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

/// The digest as the coordinator writes it.
TEST_GROUP(forecast_record)
{
    cluster c;

    void begin(bool publishes)
    {
        c.settings.publishes_forecast = publishes;
        c.hosts.add("p");
        c.add_node();
        c.add_node();
        CHECK(c.has_leader());
        c.time.run_for(2s);
    }

    ports::revision revision_of(const std::string& key) const
    {
        const auto* const it = c.store.find(key);
        return it == nullptr ? 0 : it->modified;
    }
};

// One call more twice a second has a price.
TEST(forecast_record, the_digest_is_written_together_with_the_counts)
{
    begin(true);
    for (int i = 0; i < 20; ++i)
    {
        c.put_job(c.make_job("a" + std::to_string(i), 3));
        c.time.run_for(170ms);
        CHECK(revision_of(hosted::forecast_key) != 0);
        LONGS_EQUAL(revision_of(hosted::pending_key), revision_of(hosted::forecast_key));
    }
    CHECK(core::is_ok(hosted::read_forecast_digest(c.store.find(hosted::forecast_key)->value)));
}

TEST(forecast_record, a_successor_continues_to_write_the_digest)
{
    begin(true);
    c.leader()->process.dead = true;
    const auto before = revision_of(hosted::forecast_key);
    CHECK(c.time.run_until([&] { return revision_of(hosted::forecast_key) != before; }, 10s));
}

TEST(forecast_record, no_digest_is_written_with_the_default_settings)
{
    begin(false);
    c.put_job(c.make_job("a", 3));
    c.time.run_for(5s);
    CHECK(revision_of(hosted::pending_key) != 0);
    LONGS_EQUAL(0, revision_of(hosted::forecast_key));
}
