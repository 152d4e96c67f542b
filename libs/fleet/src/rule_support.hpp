/// \file
/// Functions that the rules on pool documents share.
#pragma once

#include "fleet/budget.hpp"
#include "fleet/pool_rules.hpp"

#include <functional>
#include <string>

namespace camphorhitch::fleet
{

using rule_result = core::result<effect>;

rule_result changed(std::string note);
rule_result unchanged(std::string note);
rule_result refuse(core::error_code code, std::string message);
rule_result no_such_host(const std::string& host, const model::pool_document& d);

/// Sets the state of \p h and its decision record.
void set_state(model::host_record& h,
    model::host_state state,
    std::string rule,
    std::string weighed,
    const rule_context& c);

/// Clears the purpose, wave, move target and command of \p h.
void clear_plan(model::host_record& h);

/// \return whether \p command was applied to \p d before.
bool is_repeat(const model::pool_document& d, const std::string& command);

/// Records that \p command was applied to \p d. Only the newest max_recorded_commands are kept.
void record_command(model::pool_document& d, const std::string& command);

/// \return the state and plan of \p h for error messages, such as "host h1 is draining for
/// maintenance (wave w1)".
std::string describe(const model::host_record& h);

/// Calls \p start to make \p h, a host in \p d, absent by plan. When that would exceed a budget,
/// restores \p h and returns a conflict.
rule_result start_planned_absence(model::pool_document& d,
    model::host_record& h,
    const rule_context& c,
    const std::function<void(model::host_record&)>& start);

/// Moves \p host from the pool's hosts to its released hosts. From the write of this change on, the
/// host belongs to pool \p to.
/// \param as_borrowed whether the host is borrowed there and still belongs to the pool that lent
/// it.
void release(
    model::pool_document& d, const std::string& host, const std::string& to, bool as_borrowed);

// One overload of apply_one() for each event. They are defined in request_rules.cpp,
// live_list_rules.cpp, drain_rules.cpp and transfer_rules.cpp.
rule_result apply_one(model::pool_document& d, const drain_request& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const leave_request& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const move_request& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const undo_request& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const add_request& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const forget_request& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const host_down& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const host_live& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const host_leaving& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const start_drain& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const undo_drain& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const confirm_drained& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const hand_over& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const return_timeout& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const remove_failed_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const release_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const adopt_host& e, const rule_context& c);
rule_result apply_one(
    model::pool_document& d, const remove_released_entry& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const confirm_added& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const withdraw_added& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const hold_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const unhold_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const lend_host& e, const rule_context& c);
rule_result apply_one(
    model::pool_document& d, const reassign_borrowed_host& e, const rule_context& c);

} // namespace camphorhitch::fleet
