#include "hosted/config_follower.hpp"
#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

TEST_GROUP(config_follower)
{
    cluster c;
    hosted::formats formats;
    std::vector<std::int64_t> versions; ///< as they came into force
    std::size_t waves = 0;
    std::unique_ptr<hosted::config_follower> follower;

    void begin()
    {
        auto& n = c.add_node();
        formats = c.hosts.formats();
        formats.read_config = [](const std::string& text) -> core::result<hosted::fleet_config>
        {
            hosted::fleet_config out;
            out.version = std::atoll(text.c_str());
            if (out.version == 0)
            {
                return core::error{core::error_code::invalid, "no version"};
            }
            return out;
        };
        formats.read_wave = [](const std::string& text) -> core::result<hosted::wave_request>
        {
            return hosted::wave_request{std::atoll(text.c_str()), {"m1"}, 10s, 1};
        };
        follower = std::make_unique<hosted::config_follower>(n.ctx,
            formats,
            hosted::config_events{[this](const hosted::fleet_config& it)
                { versions.push_back(it.version); },
                [this](const std::vector<hosted::wave_request>& all)
                {
                    waves = all.size();
                }});
        follower->start();
    }

    void put(const char* key, const char* value)
    {
        c.store.put(key, value);
        c.time.run_for(300ms);
    }
};

TEST(config_follower, versions_come_into_force_in_order_and_never_go_back)
{
    begin();
    CHECK(follower->config() == nullptr);
    put("operator/config", "2");
    put("operator/config", "5");
    put("operator/config", "4");
    CHECK(versions == (std::vector<std::int64_t>{2, 5}));
    LONGS_EQUAL(5, follower->config()->version);
}

// Operators write a text that is no configuration. The one in force stays, and the log says why.
TEST(config_follower, a_damaged_configuration_changes_nothing)
{
    begin();
    put("operator/config", "2");
    put("operator/config", "{");
    LONGS_EQUAL(2, follower->config()->version);
    const auto& lines = c.nodes.front().log.lines;
    CHECK(std::any_of(lines.begin(),
        lines.end(),
        [](const auto& it) { return it.find("config_damaged") != std::string::npos; }));
}

// The text stays damaged while the store forgets its history and all is read anew. It is told once;
// written anew and damaged again, once more.
TEST(config_follower, damage_is_told_once_for_each_writing)
{
    begin();
    const auto told = [this]
    {
        const auto& lines = c.nodes.front().log.lines;
        return std::count_if(lines.begin(),
            lines.end(),
            [](const auto& it) { return it.find("config_damaged") != std::string::npos; });
    };
    put("operator/config", "{");
    for (int i = 0; i < 3; ++i)
    {
        c.nodes.front().process.store_cut = true;
        c.time.run_for(2s);
        c.store.put("operator/wave/1", "1");
        c.store.compact();
        c.nodes.front().process.store_cut = false;
        c.time.run_for(15s);
    }
    CHECK(c.nodes.front().log.has("history_lost"));
    LONGS_EQUAL(1, told());
    put("operator/config", "{");
    LONGS_EQUAL(2, told());
}

// Another writer's key holds a text with the number of a wave that is under way. It must not stand
// in for that wave.
TEST(config_follower, a_wave_under_another_key_is_none)
{
    begin();
    put("operator/wave/12", "1");
    put("operator/wave/x", "1");
    put("operator/wave/", "1");
    LONGS_EQUAL(0, waves);
    put("operator/wave/1", "1");
    LONGS_EQUAL(1, waves);
}

// The store forgets its history while the follower waits. It reads all anew and misses nothing.
TEST(config_follower, a_lost_history_loses_no_change)
{
    begin();
    put("operator/config", "2");
    c.nodes.front().process.store_cut = true;
    c.store.put("operator/config", "3");
    c.store.put("operator/wave/1", "1");
    c.store.compact();
    c.time.run_for(2s);
    c.nodes.front().process.store_cut = false;
    c.time.run_for(15s);
    LONGS_EQUAL(3, follower->config()->version);
    LONGS_EQUAL(1, waves);
}
