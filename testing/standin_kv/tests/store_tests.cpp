#include "counts.hpp"
#include "store.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::standin_kv;

namespace
{

core::mono_time at(int ms)
{
    return core::mono_time{core::millis{ms}};
}

transaction put(const std::string& key, const std::string& value, std::int64_t expected)
{
    transaction t;
    t.key = key;
    t.does = effect::put;
    t.value = value;
    t.expected = expected;
    return t;
}

transaction remove(const std::string& key, std::int64_t expected)
{
    transaction t;
    t.key = key;
    t.does = effect::remove;
    t.expected = expected;
    return t;
}

transaction put_under(const std::string& key, std::int64_t lease)
{
    auto t = put(key, "v", 0);
    t.lease = lease;
    return t;
}

std::string keys_of(const std::vector<record>& all)
{
    std::string text;
    for (const auto& it : all)
    {
        text += it.key + "=" + it.value + " ";
    }
    return text;
}

} // namespace

TEST_GROUP(kv_store)
{
    store s;
};

TEST(kv_store, compare_and_swap)
{
    struct row
    {
        transaction t;
        verdict expected;
        std::int64_t revision; ///< revision of the store afterwards
        std::int64_t modified; ///< mod_revision of the key afterwards
        std::int64_t version;
    };
    const row rows[] = {
        {put("a", "1", 0), verdict::done, 2, 2, 1},
        {put("a", "2", 0), verdict::conflict, 2, 2, 1},
        {put("a", "2", 2), verdict::done, 3, 3, 2},
        {put("a", "3", 2), verdict::conflict, 3, 3, 2},
        {remove("a", 2), verdict::conflict, 3, 3, 2},
        {remove("a", 3), verdict::done, 4, 0, 0},
        {remove("a", 0), verdict::done, 4, 0, 0},
        {put("a", "4", 0), verdict::done, 5, 5, 1},
        {{"a", 5, effect::none, "", 0, false, false}, verdict::done, 5, 5, 1},
        {{"a", 4, effect::none, "", 0, false, false}, verdict::conflict, 5, 5, 1},
        {put_under("b", 7), verdict::no_lease, 5, 0, 0},
    };
    for (const auto& it : rows)
    {
        CHECK(it.expected == apply(s, it.t, 0));
        CHECK_EQUAL(it.revision, s.revision);
        const auto now = read_one(s, it.t.key);
        CHECK_EQUAL(it.modified, now ? now->mod_revision : 0);
        CHECK_EQUAL(it.version, now ? now->version : 0);
    }
}

TEST(kv_store, ranges_now_and_at_older_revisions)
{
    apply(s, put("a/2", "x", 0), 0);
    apply(s, put("a/1", "y", 0), 0);
    apply(s, put("b", "z", 0), 0);
    apply(s, put("a/2", "w", 2), 0);
    apply(s, remove("a/1", 3), 0);
    struct row
    {
        key_range range;
        std::int64_t at;
        std::size_t limit;
        const char* found;
    };
    const std::string all(1, '\0');
    const row rows[] = {
        {{"a/", "a0"}, 0, 0, "a/2=w "},
        {{"a/", "a0"}, 5, 0, "a/1=y a/2=w "},
        {{"a/", "a0"}, 3, 0, "a/1=y a/2=x "},
        {{"a/", "a0"}, 3, 1, "a/1=y "},
        {{"a/", "a0"}, 1, 0, ""},
        {{"a/2", ""}, 0, 0, "a/2=w "},
        {{"a", ""}, 0, 0, ""},
        {{all, all}, 0, 0, "a/2=w b=z "},
    };
    for (const auto& it : rows)
    {
        STRCMP_EQUAL(it.found, keys_of(read(s, it.range, it.at, it.limit)).c_str());
    }
}

TEST(kv_store, expired_lease_deletes_its_keys_in_one_revision)
{
    const auto id = grant(s, core::millis{1000}, at(0));
    apply(s, put_under("a", id), 0);
    apply(s, put_under("b", id), 0);
    CHECK(keep_alive(s, id, at(900)).has_value());
    expire(s, at(1899), 0);
    CHECK_EQUAL(3, s.revision);
    expire(s, at(1900), 0);
    CHECK_EQUAL(4, s.revision);
    CHECK(!read_one(s, "a") && !read_one(s, "b"));
    CHECK(s.history.back().deleted);
    CHECK(!keep_alive(s, id, at(1901)).has_value());
    CHECK(!revoke(s, id, 0));
}

TEST(kv_store, key_written_again_without_the_lease_outlives_it)
{
    const auto id = grant(s, core::millis{1000}, at(0));
    apply(s, put_under("a", id), 0);
    apply(s, put("a", "mine", 2), 0);
    expire(s, at(5000), 0);
    STRCMP_EQUAL("mine", read_one(s, "a")->value.c_str());
}

// An outage of the service lasts longer than a lease, so the holder can't renew the lease. The
// lease must get its full time again at the end of the outage, as after a change of leader in etcd.
TEST(kv_store, leases_get_their_full_time_after_an_outage)
{
    const auto id = grant(s, core::millis{1000}, at(0));
    extend_all(s, at(9000));
    expire(s, at(9999), 0);
    CHECK(s.leases.contains(id));
    expire(s, at(10000), 0);
    CHECK(!s.leases.contains(id));
}

TEST(kv_store, history_drops_old_values_but_never_current_ones)
{
    s.max_kept_bytes = 250;
    apply(s, put("kept", std::string(100, 'k'), 0), 0);
    std::int64_t modified = 0;
    for (int i = 0; i < 10; ++i)
    {
        apply(s, put("a", std::string(100, 'a'), modified), 0);
        modified = s.revision;
    }
    CHECK_EQUAL(100, read_one(s, "kept")->value.size());
    CHECK_EQUAL(100, read_one(s, "a")->value.size());
    CHECK(s.kept_bytes <= 250);
    CHECK(s.compacted > 0 && s.compacted < s.revision);
    CHECK(s.history[1].value_dropped);
    CHECK(!s.history[position_of(s, s.compacted + 1)].value_dropped);
}

TEST(kv_store, rate_limit_counts_reads_and_writes_apart)
{
    rate_limiter limiter;
    limiter.limits = {2, 1};
    struct row
    {
        call_kind kind;
        int at_ms;
        bool passes;
    };
    const row rows[] = {
        {call_kind::transaction, 0, true},
        {call_kind::grant, 0, true},
        {call_kind::transaction, 0, false},
        {call_kind::range, 0, true},
        {call_kind::check, 0, false},
        {call_kind::transaction, 500, true},
        {call_kind::transaction, 500, false},
        {call_kind::range, 500, false},
        {call_kind::range, 1000, true},
    };
    for (const auto& it : rows)
    {
        CHECK_EQUAL(it.passes, admit(limiter, it.kind, at(it.at_ms)));
    }
}
