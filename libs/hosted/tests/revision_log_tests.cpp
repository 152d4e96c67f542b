#include "hosted_fakes/store.hpp"
#include "revision_log.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace std::chrono_literals;

namespace
{

constexpr core::mono_time start{1000s};

/// \return the covered time in milliseconds after the start; -1 if nothing is covered.
std::int64_t covered_ms(const hosted::revision_log& log, ports::revision through_revision)
{
    const auto it = log.covered_until(through_revision);
    return it ? std::chrono::duration_cast<core::millis>(*it - start).count() : -1;
}

} // namespace

TEST_GROUP(revision_log)
{
    hosted::revision_log log;
};

TEST(revision_log, the_newest_call_that_a_revision_covers)
{
    log.record(start, 10);
    log.record(start + 200ms, 20);
    log.record(start + 450ms, 20);
    log.record(start + 700ms, 31);
    struct row
    {
        ports::revision through_revision;
        std::int64_t covered;
    };
    for (const auto& it :
        {row{9, -1}, row{10, 0}, row{19, 0}, row{20, 450}, row{30, 450}, row{31, 700}})
    {
        LONGS_EQUAL(it.covered, covered_ms(log, it.through_revision));
    }
}

// An answer arrives late: what it shows is as old as its call. An answer without a revision shows
// nothing.
TEST(revision_log, answers_in_any_order)
{
    log.record(start + 700ms, 31);
    log.record(start, 10);
    log.record(start + 900ms, 0);
    LONGS_EQUAL(0, covered_ms(log, 10));
    LONGS_EQUAL(700, covered_ms(log, 40));
    LONGS_EQUAL(-1, covered_ms(log, 0));
}

// A node that makes thousands of calls per second keeps few samples, and each remains correct.
TEST(revision_log, many_calls_keep_few_samples_and_old_ones_are_dropped)
{
    for (int i = 0; i < 5000; ++i)
    {
        log.record(start + core::millis{i}, 100 + i);
    }
    for (const int through_revision : {5000, 4000, 3000})
    {
        const auto covered = covered_ms(log, through_revision);
        CHECK(covered >= through_revision - 100 - 100 && covered <= through_revision - 100);
    }
    LONGS_EQUAL(-1, covered_ms(log, 1000)); // 4 s old
}

// A read that may be seconds old shows nothing about the store's newest revision.
TEST(revision_log, only_calls_that_see_all_writes_are_recorded)
{
    daemon_fakes::virtual_time time;
    daemon_fakes::process process;
    hosted_fakes::store kv{time};
    const auto seen = std::make_shared<hosted::revision_log>();
    const auto store = hosted::with_recorded_revisions(
        kv.port(process), [&] { return time.now(); }, seen);
    const auto covered = [&]
    {
        time.run_for(10ms);
        return seen->covered_until(1'000'000).has_value();
    };
    store.get("a", ports::read_freshness::any_recent, [](const ports::item_read&) {});
    CHECK_FALSE(covered());
    store.commit({{{"a", 7}}, {{"a", "x", 0}}, {}}, [](const ports::commit_result&) {});
    CHECK_FALSE(covered()); // refused: the answer contains no revision
    const auto sent = time.now();
    store.get("a", ports::read_freshness::newest, [](const ports::item_read&) {});
    CHECK(covered());
    CHECK(sent == *seen->covered_until(1));
    time.run_for(500ms);
    kv.put("b", "x");
    const auto later = time.now();
    store.range("a", {}, [](const ports::page_read&) {});
    time.run_for(500ms);
    CHECK(later == *seen->covered_until(2));
    const auto last = time.now();
    store.commit({{}, {{"a", "x", 0}}, {}}, [](const ports::commit_result&) {});
    time.run_for(10ms);
    CHECK(last == *seen->covered_until(3));
    CHECK(later == *seen->covered_until(2));
}
