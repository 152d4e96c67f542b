/// \file
/// Faults common to the platform's services, and the gate through which requests pass.
#pragma once

#include "core/names.hpp"
#include "standin_support/json.hpp"
#include "standin_support/program.hpp"

#include <set>
#include <string>

namespace camphorhitch::standin_support
{

/// Behaviour of a service during an outage, as callers see it.
enum class outage_mode
{
    close,  ///< connections are accepted and closed without an answer
    refuse, ///< connections are refused
    hang    ///< requests are accepted and never answered
};

inline constexpr core::name_table<outage_mode, 3> outage_mode_names{{
    {outage_mode::close, "close"},
    {outage_mode::refuse, "refuse"},
    {outage_mode::hang, "hang"},
}};

/// Header field with the id of the sending member of the system.
inline constexpr const char* member_header = "Camphorhitch-Member";

/// Applies the faults between a service's port and its routes.
class fault_gate
{
public:
    /// \param on_outage_end called at the end of an outage
    fault_gate(standin& s, std::function<void()> on_outage_end);

    /// Listens on the service's port.
    /// \param inner handles the requests that pass the gate
    listener& listen(exchange_handler inner);

    /// Reads and applies the gate's members of a control command.
    void control(object_reader& command);

    /// Answers a write on \p key that has taken effect, or closes the connection if the answer is
    /// to be lost.
    void answer_write(
        const exchange_ptr& pending, const std::string& key, const ports::http_response& r);

    /// \return whether an outage affects all callers.
    bool has_outage() const
    {
        return in_outage_;
    }

    /// \return whether the member that sent \p r is partitioned from the service.
    bool is_partitioned(const ports::http_request& r) const;

    /// \return whether requests of partitioned members hang; else their connections are closed.
    bool partition_hangs() const
    {
        return partition_mode_ == outage_mode::hang;
    }

    /// \return the number of lost answers.
    std::uint64_t lost_answers() const
    {
        return lost_answers_;
    }

private:
    void admit(const exchange_ptr& pending);
    void begin_outage(core::millis length, outage_mode mode);
    void end_outage();
    void fail(const exchange_ptr& pending, outage_mode mode);
    bool loses_answer(const std::string& key);

    standin& standin_;
    std::function<void()> on_outage_end_;
    exchange_handler inner_;
    listener* port_ = nullptr;
    random_source random_;
    bool in_outage_ = false;
    /// Number of the newest outage; timers of earlier ones are ignored.
    std::uint64_t last_outage_ = 0;
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
