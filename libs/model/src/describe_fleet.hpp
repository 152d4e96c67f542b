/// \file
/// The keys of the fleet documents, for reading and writing.
#pragma once

#include "checked_json/record.hpp"
#include "model/fleet.hpp"

#include <type_traits>

namespace camphorhitch::model
{

namespace fleet_bounds
{

using checked_json::int_range;
using checked_json::real_range;
using checked_json::text_size;

inline constexpr text_size required_text{1, 256};
inline constexpr int_range hosts{0, 100000};
inline constexpr int_range slots{0, 10000};
inline constexpr int_range connections{0, 100000};
inline constexpr int_range accelerators{0, 10000};
inline constexpr int_range non_negative{};

} // namespace fleet_bounds

/// Matches Record when reading, and const Record when writing.
template <class T, class Record>
concept is_document = std::is_same_v<std::remove_const_t<T>, Record>;

template <class Keys, is_document<decision_record> R>
void describe(Keys& keys, R& r)
{
    keys.optional("rule", r.rule)
        .optional("weighed", r.weighed)
        .optional("at_ms", r.at_ms, fleet_bounds::non_negative);
}

template <class Keys, is_document<host_record> R>
void describe(Keys& keys, R& r)
{
    keys.required("id", r.id, fleet_bounds::required_text)
        .optional("zone", r.zone)
        .optional("rack", r.rack)
        .defaulted("processors", r.processors, fleet_bounds::real_range{})
        .defaulted("memory_gb", r.memory_gb, fleet_bounds::real_range{})
        .optional("accelerators", r.accelerators, fleet_bounds::accelerators)
        .optional("target", r.target, checked_json::check_address_or_empty)
        .defaulted("slots", r.slots, fleet_bounds::slots)
        .defaulted("connections", r.connections, fleet_bounds::connections)
        .defaulted("state", r.state, host_state_names)
        .optional("purpose", r.purpose, drain_purpose_names)
        .optional("wave", r.wave)
        .optional("maintained", r.last_wave)
        .optional("move_to", r.move_to)
        .optional("lent_by", r.lent_by)
        .optional("command", r.command)
        .defaulted("ownership", r.ownership, fleet_bounds::non_negative)
        .optional("boot_count", r.boot_count, fleet_bounds::non_negative)
        .optional("since_ms", r.since_ms, fleet_bounds::non_negative)
        .defaulted("why", r.why);
}

template <class Keys, is_document<released_host> R>
void describe(Keys& keys, R& r)
{
    keys.required("host", r.host).required("to", r.to, fleet_bounds::required_text);
}

template <class Keys, is_document<pool_document> R>
void describe(Keys& keys, R& r)
{
    keys.required("pool", r.pool, fleet_bounds::required_text)
        .optional("hosts", r.hosts, checked_json::unique_by<host_record>{"id", &host_record::id})
        .optional("released", r.released)
        .optional("commands", r.commands);
}

template <class Keys, is_document<wave_document> R>
void describe(Keys& keys, R& r)
{
    keys.required("id", r.id, fleet_bounds::required_text)
        .optional("hosts", r.hosts, checked_json::unique_texts{})
        .optional("admitted", r.admitted, checked_json::unique_texts{})
        .optional("batch", r.batch, fleet_bounds::hosts)
        .defaulted("phase", r.phase, wave_phase_names)
        .optional("started_ms", r.started_ms, fleet_bounds::non_negative)
        .optional("ended_ms", r.ended_ms, fleet_bounds::non_negative)
        .optional("failures_excused", r.failures_excused, fleet_bounds::non_negative)
        .optional("failed_at_end", r.failed_at_end, fleet_bounds::non_negative)
        .optional("gone_at_end", r.gone_at_end, fleet_bounds::non_negative)
        .optional("policy", r.policy)
        .optional("commands", r.commands)
        .defaulted("why", r.why);
}

template <class Keys, is_document<member_record> R>
void describe(Keys& keys, R& r)
{
    keys.required("id", r.id, checked_json::check_name)
        .optional("incarnation", r.incarnation)
        .optional("address", r.address, checked_json::check_address_or_empty)
        .optional("zone", r.zone);
}

template <class Keys, is_document<former_roster> R>
void describe(Keys& keys, R& r)
{
    using checked_json::unique_by;
    keys.required("epoch", r.epoch)
        .optional("members", r.members, unique_by<member_record>{"id", &member_record::id});
}

template <class Keys, is_document<roster_document> R>
void describe(Keys& keys, R& r)
{
    using checked_json::unique_by;
    keys.required("epoch", r.epoch)
        .optional("members", r.members, unique_by<member_record>{"id", &member_record::id})
        .optional("history", r.history);
}

} // namespace camphorhitch::model
