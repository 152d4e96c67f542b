/// \file
/// The part of the key-value service that one pool's jobs use: compare-and-swap on each document,
/// with writes that fail, whose answer is lost, or that take effect late.
#pragma once

#include "jobs/job.hpp"
#include "jobs/pool_jobs.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace camphorhitch::job_fakes
{

/// Fault of one write. In each case the caller's result is unknown.
enum class write_fault
{
    none,
    no_effect,   ///< the service fails before the write
    lost_answer, ///< the write takes effect and its answer is lost
    late         ///< the write takes effect later, unless another write comes before it
};

/// A write that has not taken effect yet.
struct late_write
{
    int bucket = 0;
    std::int64_t expected = 0;
    jobs::job_document document;
};

/// The documents of one pool, and counts of writes.
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
    std::vector<late_write> late;            ///< writes that have not taken effect yet
    std::function<write_fault()> next_fault; ///< fault of the next write; empty: no faults
    int refused_bucket = -1;                 ///< bucket whose writes have no effect
    std::int64_t writes = 0;                 ///< number of writes that took effect
    std::int64_t conflicts = 0;
};

/// Answer to a write.
struct write_answer
{
    jobs::write_result how = jobs::write_result::stored;
    std::int64_t revision = 0; ///< new revision if the write was stored
};

/// Writes a document if its revision is \p expected.
write_answer put_if(store& s, int bucket, const jobs::job_document& d, std::int64_t expected);

/// Delivers the late write with index \p n.
void deliver_late_write(store& s, std::size_t n);

} // namespace camphorhitch::job_fakes
