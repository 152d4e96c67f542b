/// \file
/// The keys of the settings files.
#pragma once

#include "checked_json/record.hpp"
#include "settings/client_settings.hpp"
#include "settings/daemon_settings.hpp"

#include <algorithm>

namespace camphorhitch::settings
{

namespace ranges
{

using checked_json::int_range;
using checked_json::millis_range;
using core::millis;

inline constexpr int_range body_bytes{1024, 1 << 28};
inline constexpr int_range header_bytes{1024, 1 << 20};
inline constexpr int_range connections{1, 100000};
inline constexpr int_range answer_bytes{1024, 1 << 28};
inline constexpr millis_range call_time{millis{10}, millis{60000}};
inline constexpr millis_range lease_time{millis{1000}, millis{600000}};
inline constexpr millis_range short_time{millis{50}, millis{60000}};
inline constexpr millis_range grace_time{millis{1000}, millis{86400000}};
inline constexpr millis_range stop_time{millis{100}, millis{600000}};
inline constexpr checked_json::real_range share{0, 1};

} // namespace ranges

/// Checks a token. A token is sent in a header field: a line break in it would end the field, and
/// the text after it would be read as further fields.
inline std::string check_token(const std::string& text)
{
    constexpr std::size_t min_length = 8;
    constexpr std::size_t max_length = 256;
    const auto is_visible = [](char c)
    {
        return c > ' ' && c < 0x7f;
    };
    const bool is_valid = text.size() >= min_length && text.size() <= max_length &&
                          std::all_of(text.begin(), text.end(), is_visible);
    return is_valid ? std::string{}
                    : "must have " + std::to_string(min_length) + " to " +
                          std::to_string(max_length) + " visible ASCII characters";
}

inline std::string check_token_or_empty(const std::string& text)
{
    return text.empty() ? std::string{} : check_token(text);
}

template <class Keys>
void describe(Keys& keys, store_settings& r)
{
    keys.required(
            "addresses", r.addresses, checked_json::unique_texts{1}, checked_json::check_address)
        .optional("token", r.token, check_token_or_empty)
        .defaulted("timeout_ms", r.timeout, ranges::call_time)
        .defaulted("lease_ttl_ms", r.lease_ttl, ranges::lease_time);
}

template <class Keys>
void describe(Keys& keys, platform_settings& r)
{
    keys.optional("live_list", r.live_list, checked_json::check_address_or_empty)
        .optional("workers", r.workers, checked_json::check_address_or_empty)
        .optional("token", r.token, check_token_or_empty)
        .defaulted("poll_ms", r.poll, ranges::short_time)
        .defaulted("list_lag_ms", r.list_lag, ranges::short_time);
}

template <class Keys>
void describe(Keys& keys, limit_settings& r)
{
    keys.defaulted("body_bytes", r.body_bytes, ranges::body_bytes)
        .defaulted("header_bytes", r.header_bytes, ranges::header_bytes)
        .defaulted("connections", r.connections, ranges::connections)
        .defaulted("open_requests", r.open_requests, ranges::connections)
        .defaulted("answer_bytes", r.answer_bytes, ranges::answer_bytes);
}

template <class Keys>
void describe(Keys& keys, timing_settings& r)
{
    keys.defaulted("freshness_ms", r.freshness, ranges::short_time)
        .defaulted("beat_interval_ms", r.beat_interval, ranges::short_time)
        .defaulted("permit_ttl_ms", r.permit_ttl, ranges::short_time)
        .defaulted("take_over_margin_ms", r.take_over_margin, ranges::short_time)
        .defaulted("outage_grace_ms", r.outage_grace, ranges::grace_time)
        .defaulted("drain_stop_ms", r.drain_stop, ranges::stop_time);
}

template <class Keys>
void describe(Keys& keys, log_settings& r)
{
    keys.defaulted("level", r.level, ports::log_level_names);
}

template <class Keys>
void describe(Keys& keys, trace_settings& r)
{
    keys.defaulted("sample", r.sample, ranges::share);
}

template <class Keys>
void describe(Keys& keys, daemon_settings& r)
{
    keys.required("member", r.member, checked_json::check_name)
        .required("zone", r.zone, checked_json::check_name)
        .required("peer_address", r.peer_address, checked_json::check_address)
        .required("caller_address", r.caller_address, checked_json::check_address)
        .required("operator_address", r.operator_address, checked_json::check_address)
        .required("operator_token", r.operator_token, check_token)
        .required("peer_token", r.peer_token, check_token)
        .required("store", r.store)
        .defaulted("platform", r.platform)
        .defaulted("limits", r.limits)
        .defaulted("timing", r.timing)
        .defaulted("log", r.log)
        .defaulted("trace", r.trace);
}

template <class Keys>
void describe(Keys& keys, client_settings& r)
{
    keys.required(
            "operators", r.operators, checked_json::unique_texts{1}, checked_json::check_address)
        .required("token", r.token, check_token)
        .defaulted("timeout_ms", r.timeout, ranges::call_time);
}

} // namespace camphorhitch::settings
