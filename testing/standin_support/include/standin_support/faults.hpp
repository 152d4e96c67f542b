/// \file
/// Faults that any of the platform's services may show, and the gate that requests pass.
#pragma once

#include "core/names.hpp"
#include "standin_support/json.hpp"
#include "standin_support/program.hpp"

#include <set>
#include <string>

namespace camphorhitch::standin_support
{

/// What callers see of a service that is out.
enum class outage_mode
{
    close,  ///< connections are accepted and closed without an answer
    refuse, ///< connections are refused
    hang    ///< requests are taken in and never answered
};

inline constexpr core::name_table<outage_mode, 3> outage_mode_names{{
    {outage_mode::close, "close"},
    {outage_mode::refuse, "refuse"},
    {outage_mode::hang, "hang"},
}};

/// Name of the header by which a member of the system tells who it is.
inline constexpr const char* member_header = "Camphorhitch-Member";

/// Stands between a service's port and its routes.
class fault_gate
{
public:
    /// \param on_outage_end called when an outage is over.
    fault_gate(standin& s, std::function<void()> on_outage_end);

    /// \param inner serves the requests that pass.
    listener& listen(exchange_handler inner);

    /// Takes the gate's members of a control command.
    void control(object_reader& command);

    /// Answers, or loses the answer to a write on \p key that has taken effect.
    void answer_write(
        const exchange_ptr& held, const std::string& key, const ports::http_response& r);

    /// Whether the service is out for all.
    bool is_out() const
    {
        return out_;
    }

    /// Whether the member that sent \p r is cut off.
    bool is_partitioned(const ports::http_request& r) const;

    /// Whether cut-off members hear nothing at all, rather than that their connections end.
    bool partition_hangs() const
    {
        return partition_mode_ == outage_mode::hang;
    }

    std::uint64_t lost_answers() const
    {
        return lost_answers_;
    }

private:
    void admit(const exchange_ptr& held);
    void begin_outage(core::millis length, outage_mode mode);
    void end_outage();
    void fail(const exchange_ptr& held, outage_mode mode);
    bool loses(const std::string& key);

    standin& standin_;
    std::function<void()> on_outage_end_;
    exchange_handler inner_;
    listener* port_ = nullptr;
    dice dice_;
    bool out_ = false;
    std::uint64_t outage_ = 0; ///< number of the newest one: an older one's end is void
    outage_mode mode_ = outage_mode::close;
    core::millis slow_{0};
    double lose_answers_ = 0;
    std::int64_t lose_next_ = 0;
    double drop_requests_ = 0;
    std::string lose_prefix_;
    std::set<std::string> partition_;
    outage_mode partition_mode_ = outage_mode::close;
    std::uint64_t lost_answers_ = 0;
    std::vector<exchange_ptr> hung_;
};

} // namespace camphorhitch::standin_support
