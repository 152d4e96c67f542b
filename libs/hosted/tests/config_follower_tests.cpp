#include "hosted/config_follower.hpp"
#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;

TEST_GROUP(config_follower)
{
    cluster c;
    hosted::formats formats;
    std::vector<std::int64_t> versions; ///< in the order in which they came into force
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

// Operators write a text that is not a valid configuration. The configuration in force stays, and
// the log contains the reason.
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

// The configuration stays damaged while the store's change log is truncated and all entries are
// read again. It is logged once, and once more after it was written again and is still damaged.
TEST(config_follower, damage_is_logged_once_per_write)
{
    begin();
    const auto damage_lines = [this]
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
    LONGS_EQUAL(1, damage_lines());
    put("operator/config", "{");
    LONGS_EQUAL(2, damage_lines());
}

// An entry of another writer contains the number of a wave that is in progress. It must not replace
// that wave.
TEST(config_follower, a_wave_under_another_key_is_ignored)
{
    begin();
    put("operator/wave/12", "1");
    put("operator/wave/x", "1");
    put("operator/wave/", "1");
    LONGS_EQUAL(0, waves);
    put("operator/wave/1", "1");
    LONGS_EQUAL(1, waves);
}

// The store's change log is truncated while the follower waits. The follower reads all entries
// again and misses no change.
TEST(config_follower, a_truncated_change_log_loses_no_change)
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
