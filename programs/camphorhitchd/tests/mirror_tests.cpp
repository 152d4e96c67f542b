#include "daemon_fakes/key_value.hpp"
#include "daemon_fakes/recorders.hpp"
#include "mirror.hpp"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

namespace
{

constexpr core::millis settle_time{10000};

struct mirror_fixture
{
    daemon_fakes::process process;
    daemon_fakes::log_recorder log;
    ports::key_value store;
    ports::scheduler scheduler;
    ports::telemetry telemetry;
    std::vector<core::mono_time> reads; ///< time at which each read was sent
    std::unique_ptr<mirror> documents;

    mirror_fixture(
        daemon_fakes::virtual_time& time, daemon_fakes::key_value& kv, std::uint64_t seed)
        : store(kv.port(process)), scheduler(time.port(process)), telemetry(log.port(time))
    {
        mirror_settings settings;
        settings.prefix = "/d/";
        settings.seed = seed;
        documents = std::make_unique<mirror>(settings,
            store,
            scheduler,
            telemetry,
            mirror_events{[](const ports::kv_entry&) {},
                [this](core::mono_time asked_at)
                {
                    reads.push_back(asked_at);
                }});
        documents->start();
    }
    std::string value(const std::string& key) const
    {
        const auto* it = documents->find(key);
        return it == nullptr ? "(none)" : it->value;
    }
};

} // namespace

TEST_GROUP(mirror)
{
    daemon_fakes::virtual_time time;
    daemon_fakes::key_value store{time};
};

// A watch ends without notice, and documents change before the next watch is established. No event
// reports these changes, so the mirror must find them, including deletions.
TEST(mirror, changes_during_a_watch_gap_are_found)
{
    for (const auto watch_time : {core::millis{100}, core::millis{8000}})
    {
        store.put("/d/kept", "old");
        store.put("/d/gone", "old");
        mirror_fixture w(time, store, 1);
        time.run_for(watch_time);
        STRCMP_EQUAL("old", w.value("/d/gone").c_str());
        w.process.store_cut = true;
        store.put("/d/kept", "new");
        store.remove("/d/gone");
        store.end_watches();
        time.run_for(settle_time);
        STRCMP_EQUAL("old", w.value("/d/kept").c_str());
        w.process.store_cut = false;
        time.run_for(settle_time);
        STRCMP_EQUAL("new", w.value("/d/kept").c_str());
        STRCMP_EQUAL("(none)", w.value("/d/gone").c_str());
    }
}

// A lagging replica answers a full read after the watch has reported newer writes. Applying that
// read as it is would bring an old document back, revive a deleted one, and hide a new one.
TEST(mirror, a_stale_read_reverts_and_hides_nothing)
{
    store.put("/d/changed", "old");
    store.put("/d/deleted", "old");
    mirror_fixture w(time, store, 1);
    time.run_for(settle_time);
    store.freeze_range_reads();
    store.put("/d/changed", "new");
    store.put("/d/added", "new");
    store.remove("/d/deleted");
    time.run_for(settle_time);
    const auto before = w.reads.size();
    w.documents->refresh();
    time.run_for(settle_time);
    CHECK(w.reads.size() > before);
    STRCMP_EQUAL("new", w.value("/d/changed").c_str());
    STRCMP_EQUAL("new", w.value("/d/added").c_str());
    STRCMP_EQUAL("(none)", w.value("/d/deleted").c_str());
}

// Nine processes lose the key-value service at one instant and reach it again at one instant. If
// all of them read all documents at once, they would exceed the service's rate limit and fail again
// together.
TEST(mirror, after_an_outage_reads_are_spread_and_few)
{
    constexpr std::size_t processes = 9;
    store.put("/d/one", "old");
    std::vector<std::unique_ptr<mirror_fixture>> all;
    for (std::size_t i = 0; i < processes; ++i)
    {
        all.push_back(std::make_unique<mirror_fixture>(time, store, i + 1));
    }
    time.run_for(settle_time);
    store.set_down(true);
    time.run_for(core::millis{60000});
    const auto before = store.range_reads;
    store.set_down(false);
    const auto restored_at = time.now();
    time.run_for(settle_time);
    LONGS_EQUAL(processes, store.range_reads - before);
    std::set<core::mono_time> instants;
    for (const auto& it : all)
    {
        CHECK(it->reads.back() >= restored_at);
        instants.insert(it->reads.back());
    }
    LONGS_EQUAL(processes, instants.size());
}
