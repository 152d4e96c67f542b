/// \file
/// Counts of calls by kind, and rate limits.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace camphorhitch::standin_kv
{

/// Kind of a call; the names appear in /control/stats.
enum class call_kind
{
    range,
    check, ///< a transaction without a write
    transaction,
    grant,
    keep_alive,
    revoke,
    watch
};

inline constexpr core::name_table<call_kind, 7> call_kind_names{{
    {call_kind::range, "range"},
    {call_kind::check, "check"},
    {call_kind::transaction, "txn"},
    {call_kind::grant, "lease_grant"},
    {call_kind::keep_alive, "lease_keepalive"},
    {call_kind::revoke, "lease_revoke"},
    {call_kind::watch, "watch"},
}};

/// \return whether calls of this kind count as writes.
constexpr bool is_write(call_kind kind)
{
    return kind == call_kind::transaction || kind == call_kind::grant || kind == call_kind::revoke;
}

/// Counts of one kind of calls.
struct kind_counts
{
    std::int64_t calls = 0;
    std::int64_t bytes_in = 0;  ///< bytes of request bodies
    std::int64_t bytes_out = 0; ///< bytes of answer bodies
};

/// Calls in the current second, and the maximum of all seconds.
struct second_counts
{
    std::int64_t second = -1;
    std::int64_t now = 0;
    std::int64_t max = 0;
};

/// All counts of the service.
struct call_counts
{
    std::array<kind_counts, call_kind_names.size()> kinds;
    second_counts reads;
    second_counts writes;
    std::int64_t conflicts = 0;
    std::int64_t limited = 0; ///< calls refused by a rate limit
    std::int64_t stale = 0;   ///< reads answered from an older revision
    std::size_t max_watches = 0;
};

/// Counts a call.
void count_call(call_counts& c, call_kind kind, std::size_t bytes_in, core::mono_time now);
/// Counts the bytes of an answer.
void count_answer(call_counts& c, call_kind kind, std::size_t bytes_out);
/// \return the counts as members of /control/stats.
nlohmann::json to_json(const call_counts& c);

/// Maximum calls per second; 0: no limit.
struct rate_limits
{
    std::int64_t writes = 0;
    std::int64_t reads = 0;
};

/// Token buckets for reads and for writes, each of which holds the calls of one second.
struct rate_limiter
{
    struct bucket
    {
        double tokens = 0;
        core::mono_time filled; ///< time of the last refill
        bool used = false;      ///< whether the bucket has been filled for the first time
    };

    rate_limits limits;
    bucket writes;
    bucket reads;
};

/// Counts a call against its limit.
/// \return whether the call is within the limit.
bool admit(rate_limiter& r, call_kind kind, core::mono_time now);

} // namespace camphorhitch::standin_kv
