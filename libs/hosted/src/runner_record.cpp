#include "runner_record.hpp"

#include "core/rendezvous.hpp"
#include "hosted/keys.hpp"
#include "ports/incarnation.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace camphorhitch::hosted
{

namespace
{

using nlohmann::json;

/// Longest value that is accepted from a record. No lease is nearly as long, and a longer time
/// would overflow the clock when it is added to the present time.
constexpr std::uint64_t max_remaining_lease_ms = std::uint64_t{24} * 3600 * 1000;

json write_row(const runner_record& it)
{
    auto row = json::array({it.address, it.machine, it.pool});
    if (it.remaining_lease)
    {
        row.push_back(it.remaining_lease->count());
    }
    return row;
}

std::optional<runner_record> read_row(const json& row)
{
    constexpr std::size_t without_lease = 3;
    constexpr std::size_t with_lease = 4;
    const bool right_size =
        row.is_array() && (row.size() == without_lease || row.size() == with_lease);
    if (!right_size || !row[0].is_string() || !row[1].is_string() || !row[2].is_string())
    {
        return {};
    }
    runner_record out{
        row[0].get<std::string>(), row[1].get<std::string>(), row[2].get<std::string>(), {}};
    if (row.size() == with_lease)
    {
        if (!row[without_lease].is_number_unsigned() ||
            row[without_lease].get<std::uint64_t>() > max_remaining_lease_ms)
        {
            return {};
        }
        out.remaining_lease = core::millis{row[without_lease].get<std::int64_t>()};
    }
    return out;
}

} // namespace

std::string write_runners(const runner_records& all)
{
    auto out = json::object();
    for (const auto& [id, it] : all)
    {
        out[id] = write_row(it);
    }
    return out.dump();
}

std::optional<runner_records> read_runners(const std::string& text)
{
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object())
    {
        return {};
    }
    runner_records out;
    for (const auto& [id, row] : from.items())
    {
        auto read = read_row(row);
        if (!read)
        {
            return {};
        }
        out.emplace(id, std::move(*read));
    }
    return out;
}

std::size_t bucket_of_runner(std::string_view id)
{
    return core::stable_hash(ports::runner_of(id)) % runner_buckets;
}

std::string runner_bucket_key(std::size_t bucket)
{
    return runner_bucket_prefix + std::to_string(bucket);
}

std::optional<std::size_t> read_runner_bucket_key(std::string_view key)
{
    if (!key.starts_with(runner_bucket_prefix))
    {
        return {};
    }
    const auto text = key.substr(runner_bucket_prefix.size());
    std::size_t bucket = runner_buckets;
    const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), bucket);
    const bool whole = ec == std::errc{} && stop == text.data() + text.size();
    return whole && bucket < runner_buckets ? std::optional{bucket} : std::nullopt;
}

} // namespace camphorhitch::hosted
