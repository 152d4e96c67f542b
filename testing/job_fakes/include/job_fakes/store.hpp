/// \file
/// The key-value service as the jobs of one pool meet it: compare-and-swap on each document, with
/// writes that fail, that lose their answer, and that arrive late.
#pragma once

#include "jobs/job.hpp"
#include "jobs/pool_jobs.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace camphorhitch::job_fakes
{

enum class write_fault
{
    none,
    no_effect,   ///< unavailable before it was done; the caller can't tell
    lost_answer, ///< done, and the answer lost
    late         ///< no answer now, and done at some later time if nothing came between
};

struct late_write
{
    int bucket = 0;
    std::int64_t expected = 0;
    jobs::job_document document;
};

struct store
{
    struct entry
    {
        jobs::job_document document;
        std::int64_t revision = 0; ///< 0: the key does not exist
    };
    std::array<entry, jobs::buckets_per_pool> entries;
    std::function<void(const jobs::job_document&)> on_stored;
    std::int64_t newest_revision = 0;
    std::vector<late_write> late;
    std::function<write_fault()> next_fault; ///< empty: none
    int refused_bucket = -1;                 ///< writes to it have no effect
    std::int64_t writes = 0;                 ///< that took effect
    std::int64_t conflicts = 0;
};

struct write_answer
{
    jobs::write_result how = jobs::write_result::stored;
    std::int64_t revision = 0; ///< when stored
};

write_answer put_if(store& s, int bucket, const jobs::job_document& d, std::int64_t expected);

/// Lets the late write \p n arrive.
void arrive(store& s, std::size_t n);

} // namespace camphorhitch::job_fakes
