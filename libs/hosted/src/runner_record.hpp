/// \file
/// The stored record of the runners in use: its rows, their texts, and its division into buckets.
///
/// A successor reads the record to learn whose leases it has to wait for. It is divided into
/// buckets by runner, each under a key of its own, so that a change of one runner rewrites the rows
/// of a few others only.
#pragma once

#include "core/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace camphorhitch::hosted
{

/// Row of the record: a runner in use.
struct runner_record
{
    std::string address;
    std::string machine; ///< empty: not known yet
    std::string pool;    ///< empty: not known
    /// Set for an unresponsive runner: all its leases end within this time after the record was
    /// stored. If it is shorter than the longest lease of a runner, none is granted before the
    /// record has been stored without it. The longest is also set for a runner that started again
    /// recently, since calls for its earlier incarnation may have granted it. Otherwise empty: no
    /// lease is longer than those that coordinators grant.
    std::optional<core::millis> remaining_lease;

    friend bool operator==(const runner_record&, const runner_record&) = default;
};

using runner_records = std::map<std::string, runner_record>; ///< by runner id

/// \return the text of a bucket.
std::string write_runners(const runner_records& all);

/// \return the runners of a bucket; empty if the text is damaged.
std::optional<runner_records> read_runners(const std::string& text);

inline constexpr std::size_t runner_buckets = 256;

/// \return the bucket of a runner, from 0 to runner_buckets - 1. All incarnations of a runner have
/// the same bucket.
std::size_t bucket_of_runner(std::string_view id);

/// \return the key of the bucket.
std::string runner_bucket_key(std::size_t bucket);

/// \return the bucket that is stored under the key; empty if it is no key of a bucket.
std::optional<std::size_t> read_runner_bucket_key(std::string_view key);

} // namespace camphorhitch::hosted
