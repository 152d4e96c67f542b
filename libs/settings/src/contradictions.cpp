#include "contradictions.hpp"

#include <algorithm>

namespace camphorhitch::settings
{

namespace
{

constexpr int min_beats_per_freshness = 3; ///< one lost heartbeat then does not make a member stale
constexpr int min_calls_per_lease = 2;     ///< one lost answer then does not lose the lease

/// Collects contradictions between values that are valid individually.
class checker
{
public:
    checker(const checked_json::document& d, const core::findings& reported)
        : document_(d), reported_(reported)
    {
    }

    /// Reports \p text at \p pointer when \p holds is false and neither value has a finding.
    /// \param other JSON pointer of the value that the value at \p pointer contradicts.
    void expect(bool holds, const char* pointer, const char* other, const std::string& text)
    {
        if (!holds && !is_reported(pointer) && !is_reported(other))
        {
            found_.push_back({checked_json::place_of(document_, pointer), text, {}});
        }
    }

    core::findings take_findings()
    {
        return std::move(found_);
    }

private:
    bool is_reported(const std::string& pointer) const
    {
        return std::any_of(reported_.begin(),
            reported_.end(),
            [&](const core::finding& it)
            { return !it.where.pointer.empty() && pointer.rfind(it.where.pointer, 0) == 0; });
    }

    const checked_json::document& document_;
    const core::findings& reported_;
    core::findings found_;
};

std::string ip_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

std::string port_of(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

bool is_wildcard_address(const std::string& address)
{
    const auto ip = ip_of(address);
    return ip == "0.0.0.0" || ip == "[::]";
}

/// \return whether two listeners cannot use both addresses. Port 0 selects a free port, so it
/// conflicts with no address. An empty address was reported when it was read.
bool addresses_conflict(const std::string& a, const std::string& b)
{
    if (a.empty() || b.empty())
    {
        return false;
    }
    const bool same_ip = ip_of(a) == ip_of(b) || is_wildcard_address(a) || is_wildcard_address(b);
    return same_ip && port_of(a) == port_of(b) && port_of(a) != "0";
}

std::string ms(core::millis t)
{
    return std::to_string(t.count()) + " ms";
}

void check_addresses(checker& c, const daemon_settings& s)
{
    c.expect(!is_wildcard_address(s.peer_address),
        "/peer_address",
        "/peer_address",
        "peers need an address to reach, not one that stands for all");
    c.expect(!addresses_conflict(s.caller_address, s.peer_address),
        "/caller_address",
        "/peer_address",
        "is the address of 'peer_address' too");
    c.expect(!addresses_conflict(s.operator_address, s.peer_address),
        "/operator_address",
        "/peer_address",
        "is the address of 'peer_address' too");
    c.expect(!addresses_conflict(s.operator_address, s.caller_address),
        "/operator_address",
        "/caller_address",
        "is the address of 'caller_address' too");
}

/// The tokens must differ: a person who obtains one of them, for example from a configuration file
/// or a log, must not be able to use the other services.
void check_tokens(checker& c, const daemon_settings& s)
{
    c.expect(s.store.token != s.operator_token,
        "/operator_token",
        "/store/token",
        "must differ from the token of 'store'");
    c.expect(s.platform.token != s.operator_token,
        "/operator_token",
        "/platform/token",
        "must differ from the token of 'platform'");
    c.expect(s.peer_token.empty() || s.peer_token != s.operator_token,
        "/peer_token",
        "/operator_token",
        "must differ from 'operator_token'");
    c.expect(s.peer_token.empty() || s.store.token != s.peer_token,
        "/peer_token",
        "/store/token",
        "must differ from the token of 'store'");
    c.expect(s.peer_token.empty() || s.platform.token != s.peer_token,
        "/peer_token",
        "/platform/token",
        "must differ from the token of 'platform'");
}

void check_store(checker& c, const daemon_settings& s)
{
    c.expect(s.store.lease_ttl >= min_calls_per_lease * s.store.timeout,
        "/store/lease_ttl_ms",
        "/store/timeout_ms",
        "must be at least " + ms(min_calls_per_lease * s.store.timeout) +
            ", twice 'timeout_ms', or one lost answer loses the lease");
    c.expect(s.store.timeout < s.timing.freshness,
        "/store/timeout_ms",
        "/timing/freshness_ms",
        "must be less than 'timing/freshness_ms' of " + ms(s.timing.freshness) +
            ", or one slow call makes the member stale");
}

void check_timing(checker& c, const daemon_settings& s)
{
    const timing_settings& t = s.timing;
    c.expect(t.freshness >= min_beats_per_freshness * t.beat_interval,
        "/timing/freshness_ms",
        "/timing/beat_interval_ms",
        "must be at least " + ms(min_beats_per_freshness * t.beat_interval) +
            ", three times 'beat_interval_ms', or one lost heartbeat makes the member stale");
    c.expect(t.permit_ttl <= t.freshness,
        "/timing/permit_ttl_ms",
        "/timing/freshness_ms",
        "must be at most 'freshness_ms' of " + ms(t.freshness) +
            ", or a permit outlives the time after which others count on its end");
    c.expect(t.outage_grace >= t.freshness + t.take_over_margin,
        "/timing/outage_grace_ms",
        "/timing/freshness_ms",
        "must be at least " + ms(t.freshness + t.take_over_margin) +
            ", 'freshness_ms' and 'take_over_margin_ms' together");
}

void check_limits(checker& c, const daemon_settings& s)
{
    c.expect(s.limits.open_requests <= s.limits.connections,
        "/limits/open_requests",
        "/limits/connections",
        "must be at most 'connections' of " + std::to_string(s.limits.connections) +
            ": a connection carries one request at a time");
}

} // namespace

core::findings contradictions(
    const daemon_settings& s, const checked_json::document& d, const core::findings& found)
{
    checker c{d, found};
    check_addresses(c, s);
    check_tokens(c, s);
    check_store(c, s);
    check_timing(c, s);
    check_limits(c, s);
    return c.take_findings();
}

} // namespace camphorhitch::settings
