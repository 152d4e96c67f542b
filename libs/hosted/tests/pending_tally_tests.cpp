#include "hosted/keys.hpp"
#include "pending_tally.hpp"
#include "workflow/records.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;

namespace
{

ports::stored_change change(const std::string& key, ports::revision at, std::string value = {})
{
    ports::stored_change out;
    out.item.key = key;
    out.item.value = std::move(value);
    out.item.modified = at;
    return out;
}

ports::stored_change accepted(const std::string& id, ports::revision at, int occurrences = 0)
{
    workflow::job j;
    j.id = id;
    j.queue = "q";
    j.pool = "p";
    j.max_attempts = 1;
    j.accepted_unix_ms = 1'700'000'000'000;
    j.steps = {{}};
    j.steps[0].tasks = 1;
    j.steps[0].need.cpu = 100;
    if (occurrences > 0)
    {
        j.timing = {occurrences, 1'700'000'000'000, 500};
    }
    return change(hosted::job_key(id), at, workflow::write_job(j));
}

ports::stored_change removed(const std::string& key, ports::revision at)
{
    auto out = change(key, at);
    out.removed = true;
    return out;
}

} // namespace

TEST_GROUP(pending_tally)
{
    hosted::pending_tally t;

    void setup() override
    {
        t.set_base({100, {{"q", 3}, {"r", 1}}});
    }
};

TEST(pending_tally, what_counts_as_accepted_since)
{
    LONGS_EQUAL(100, t.through());
    t.add_changes({accepted("a", 101),
                      accepted("b", 102),
                      accepted("timed", 103, 2),
                      change(hosted::handover_key, 104, "n2"),
                      change(hosted::job_key("odd"), 105, "{"),
                      change(hosted::cancel_key("b"), 106, "1"),
                      accepted("c", 107),
                      accepted("d", 108),
                      removed(hosted::job_key("c"), 109),
                      change(hosted::cancel_key("inherited"), 110, "1")},
        112);
    LONGS_EQUAL(2, t.added("q")); // a and d
    LONGS_EQUAL(0, t.added("r"));
    LONGS_EQUAL(3, t.in_record("q"));
    LONGS_EQUAL(1, t.in_record("r"));
    LONGS_EQUAL(0, t.in_record("s"));
    LONGS_EQUAL(112, t.through());
    LONGS_EQUAL(100, t.base_through());
}

// Two callers ask at once, and the store's answers overlap or change places. No job counts twice,
// and none that has ended comes back.
TEST(pending_tally, overlapping_answers_count_once)
{
    t.add_changes(
        {accepted("a", 101), accepted("b", 102), removed(hosted::job_key("a"), 103)}, 103);
    t.add_changes({accepted("a", 101), accepted("b", 102)}, 102);
    LONGS_EQUAL(1, t.added("q"));
    LONGS_EQUAL(103, t.through());
    t.add_changes(
        {accepted("b", 102), removed(hosted::job_key("a"), 103), accepted("c", 104)}, 104);
    LONGS_EQUAL(2, t.added("q"));
}

// A newer record has counted some of the jobs that were added: these leave, the others stay, and
// the history between is not asked for again.
TEST(pending_tally, a_newer_record_takes_its_jobs_over)
{
    t.add_changes({accepted("a", 101), accepted("b", 105)}, 110);
    t.set_base({103, {{"q", 4}}});
    LONGS_EQUAL(4, t.in_record("q"));
    LONGS_EQUAL(1, t.added("q"));
    LONGS_EQUAL(110, t.through());
    t.set_base({120, {{"q", 5}}});
    LONGS_EQUAL(0, t.added("q"));
    LONGS_EQUAL(120, t.through());
}

// A write of the record lands seconds late, over a newer one. What came between the two is not
// known any more and has to be read anew.
TEST(pending_tally, an_older_record_begins_anew)
{
    t.add_changes({accepted("a", 101)}, 110);
    t.set_base({90, {{"q", 1}}});
    LONGS_EQUAL(90, t.through());
    LONGS_EQUAL(0, t.added("q"));
    t.add_changes({accepted("z", 95), accepted("a", 101)}, 110);
    LONGS_EQUAL(2, t.added("q"));
}
