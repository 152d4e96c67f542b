/// \file
/// Random documents within the limits of the codec, for use inside RapidCheck properties.
#pragma once

#include "model/config.hpp"
#include "model/fleet.hpp"

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace camphorhitch::model
{

inline std::int64_t any_int(std::int64_t low, std::int64_t high)
{
    return *rc::gen::inRange<std::int64_t>(low, high + 1);
}

inline int any_count(int high)
{
    return static_cast<int>(any_int(0, high));
}

inline core::millis any_millis(std::int64_t low, std::int64_t high)
{
    return core::millis{any_int(low, high)};
}

inline double any_real(double low, double high)
{
    return low + (high - low) * static_cast<double>(any_int(0, 1 << 30)) / (1 << 30);
}

/// \return random valid UTF-8 text, including quotes, control characters and a two-byte character.
inline std::string any_text()
{
    std::string text;
    for (const int it : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 129)))
    {
        text += it == 128 ? std::string{"ó"} : std::string{static_cast<char>(it)};
    }
    return text;
}

inline std::string any_name(std::size_t index)
{
    return *rc::gen::element<std::string>("a", "pool-1", "x_y.z") + std::to_string(index);
}

template <class E, std::size_t N>
E any_of(const core::name_table<E, N>& table)
{
    return table[static_cast<std::size_t>(any_count(N - 1))].value;
}

/// \param make makes an element from its index, by which it can make unique names.
template <class Make>
auto any_list(Make make)
{
    std::vector<decltype(make(std::size_t{0}))> list;
    const auto n = static_cast<std::size_t>(any_count(4));
    for (std::size_t i = 0; i < n; ++i)
    {
        list.push_back(make(i));
    }
    return list;
}

inline std::vector<std::string> any_names()
{
    return any_list(any_name);
}

inline std::string any_address()
{
    return *rc::gen::element<std::string>("", "10.0.0.7:8080", "[fd00::7]:1");
}

inline class_limits any_limits()
{
    const auto longest = any_millis(1, 3600000);
    return {any_count(1000000), any_millis(1, longest.count()), longest, any_count(10000)};
}

inline pool_config any_pool_config(std::size_t index)
{
    pool_config it;
    it.name = any_name(index);
    it.services = any_names();
    it.budget = {any_count(100000), any_count(100000)};
    it.policy = any_name(0);
    it.experiment = any_text();
    it.policy_before = any_text();
    it.spare = any_count(1) == 1;
    it.size_class = any_real(0, 1e6);
    it.quick = any_limits();
    it.normal = any_limits();
    it.long_running = any_limits();
    it.retry_ratio = any_real(0, 1);
    return it;
}

inline policy_config any_policy(std::size_t index)
{
    policy_config it;
    it.name = any_name(index);
    it.kind = any_of(policy_kind_names);
    it.canary = 1 + any_count(1000);
    it.growth = any_real(1, 1000);
    it.largest_batch = any_count(100000);
    it.halt_after = 1 + any_count(1000);
    it.fixed_buffer = any_count(1000);
    it.return_timeout = any_millis(1, 86400000);
    it.drain_timeout = any_millis(1, 86400000);
    return it;
}

inline team_config any_team(std::size_t index)
{
    return {any_name(index), any_real(0, 1e9), any_real(0, 1e9), any_count(1000000)};
}

inline configuration any_configuration()
{
    configuration it;
    it.version = any_int(0, 1LL << 60);
    it.pools = any_list(any_pool_config);
    it.policies = any_list(any_policy);
    it.teams = any_list(any_team);
    it.key_memory = any_millis(1000, 86400000);
    it.keys_per_slot = 1 + any_count(1000000);
    it.answer_kept_bytes = any_count(1 << 24);
    it.commands = any_names();
    return it;
}

inline decision_record any_decision()
{
    return {any_text(), any_text(), any_int(0, 1LL << 50)};
}

inline host_record any_host(std::size_t index)
{
    host_record it;
    it.id = any_name(index);
    it.zone = any_text();
    it.rack = any_text();
    it.processors = any_real(0, 1e5);
    it.memory_gb = any_real(0, 1e5);
    it.accelerators = any_count(10000);
    it.target = any_address();
    it.slots = any_count(10000);
    it.connections = any_count(100000);
    it.state = any_of(host_state_names);
    it.purpose = any_of(drain_purpose_names);
    it.wave = any_text();
    it.last_wave = any_text();
    it.move_to = any_text();
    it.lent_by = any_text();
    it.command = any_text();
    it.ownership = any_int(0, 1LL << 60);
    it.boot_count = any_int(0, 1LL << 60);
    it.since_ms = any_int(0, 1LL << 60);
    it.why = any_decision();
    return it;
}

inline pool_document any_pool()
{
    pool_document it;
    it.pool = any_name(0);
    it.hosts = any_list(any_host);
    it.released = any_list([](std::size_t i) { return released_host{any_host(i), any_name(i)}; });
    it.commands = any_names();
    return it;
}

inline wave_document any_wave()
{
    wave_document it;
    it.id = any_name(0);
    it.hosts = any_names();
    it.admitted = any_names();
    it.batch = any_count(100000);
    it.phase = any_of(wave_phase_names);
    it.started_ms = any_int(0, 1LL << 60);
    it.ended_ms = any_int(0, 1LL << 60);
    it.failures_excused = any_count(100000);
    it.policy = any_text();
    it.commands = any_names();
    it.why = any_decision();
    return it;
}

inline member_record any_member(std::size_t index)
{
    return {any_name(index), any_text(), any_address(), any_text()};
}

inline roster_document any_roster()
{
    roster_document it;
    it.epoch = *rc::gen::arbitrary<std::uint64_t>();
    it.members = any_list(any_member);
    it.history = any_list(
        [](std::size_t i) {
            return former_roster{static_cast<std::uint64_t>(i), any_list(any_member)};
        });
    return it;
}

} // namespace camphorhitch::model
