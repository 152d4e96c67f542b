/// \file
/// Counts of calls by kind, and limits on their rates.
#pragma once

#include "core/names.hpp"
#include "core/time.hpp"

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace camphorhitch::standin_kv
{

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

constexpr bool is_write(call_kind kind)
{
    return kind == call_kind::transaction || kind == call_kind::grant || kind == call_kind::revoke;
}

struct kind_counts
{
    std::int64_t calls = 0;
    std::int64_t bytes_in = 0;  ///< bodies
    std::int64_t bytes_out = 0; ///< bodies
};

/// Calls of the current second, and the most that any second had.
struct second_counts
{
    std::int64_t second = -1;
    std::int64_t now = 0;
    std::int64_t most = 0;
};

struct call_counts
{
    std::array<kind_counts, call_kind_names.size()> kinds;
    second_counts reads;
    second_counts writes;
    std::int64_t conflicts = 0;
    std::int64_t limited = 0; ///< refused by a rate limit
    std::int64_t stale = 0;   ///< reads answered from an older revision
    std::size_t most_watches = 0;
};

void count_call(call_counts& c, call_kind kind, std::size_t bytes_in, core::mono_time now);
void count_answer(call_counts& c, call_kind kind, std::size_t bytes_out);
nlohmann::json to_json(const call_counts& c);

/// Most calls a second; 0: no limit.
struct rate_limits
{
    std::int64_t writes = 0;
    std::int64_t reads = 0;
};

/// A bucket each for reads and writes that holds one second's worth of calls.
struct rate_limiter
{
    struct bucket
    {
        double tokens = 0;
        core::mono_time filled;
        bool used = false;
    };

    rate_limits limits;
    bucket writes;
    bucket reads;
};

/// \return whether the call may pass; it has then been counted against its limit.
bool admit(rate_limiter& r, call_kind kind, core::mono_time now);

} // namespace camphorhitch::standin_kv
