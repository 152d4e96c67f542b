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

TEST(pending_tally, jobs_counted_as_accepted_since_the_record)
{
    LONGS_EQUAL(100, t.through_revision());
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
    LONGS_EQUAL(2, t.added_count("q")); // a and d
    LONGS_EQUAL(0, t.added_count("r"));
    LONGS_EQUAL(3, t.recorded_count("q"));
    LONGS_EQUAL(1, t.recorded_count("r"));
    LONGS_EQUAL(0, t.recorded_count("s"));
    LONGS_EQUAL(112, t.through_revision());
    LONGS_EQUAL(100, t.base_through_revision());
}

// Two callers query at the same time, and the store's answers overlap or arrive out of order. No
// job counts twice, and no ended job is counted again.
TEST(pending_tally, overlapping_answers_count_once)
{
    t.add_changes(
        {accepted("a", 101), accepted("b", 102), removed(hosted::job_key("a"), 103)}, 103);
    t.add_changes({accepted("a", 101), accepted("b", 102)}, 102);
    LONGS_EQUAL(1, t.added_count("q"));
    LONGS_EQUAL(103, t.through_revision());
    t.add_changes(
        {accepted("b", 102), removed(hosted::job_key("a"), 103), accepted("c", 104)}, 104);
    LONGS_EQUAL(2, t.added_count("q"));
}

// A newer record includes some of the added jobs: these are removed, the others stay, and the
// change log in between is not read again.
TEST(pending_tally, a_newer_record_absorbs_its_jobs)
{
    t.add_changes({accepted("a", 101), accepted("b", 105)}, 110);
    t.set_base({103, {{"q", 4}}});
    LONGS_EQUAL(4, t.recorded_count("q"));
    LONGS_EQUAL(1, t.added_count("q"));
    LONGS_EQUAL(110, t.through_revision());
    t.set_base({120, {{"q", 5}}});
    LONGS_EQUAL(0, t.added_count("q"));
    LONGS_EQUAL(120, t.through_revision());
}

// A write of the record takes effect seconds late, over a newer record. The jobs accepted between
// the two records are not known any more and have to be read again.
TEST(pending_tally, an_older_record_resets_the_added_jobs)
{
    t.add_changes({accepted("a", 101)}, 110);
    t.set_base({90, {{"q", 1}}});
    LONGS_EQUAL(90, t.through_revision());
    LONGS_EQUAL(0, t.added_count("q"));
    t.add_changes({accepted("z", 95), accepted("a", 101)}, 110);
    LONGS_EQUAL(2, t.added_count("q"));
}
