/// \file
/// What the rules on pool documents share.
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

/// Puts \p h into \p state and records why.
void enter(model::host_record& h,
    model::host_state state,
    std::string rule,
    std::string weighed,
    const rule_context& c);

/// Ends whatever plan \p h was part of.
void clear_plan(model::host_record& h);

/// \return whether \p command was applied to \p d before.
bool is_repeat(const model::pool_document& d, const std::string& command);
void remember(model::pool_document& d, const std::string& command);

/// \return "draining for maintenance (wave w1)" and the like, for conflicts.
std::string describe(const model::host_record& h);

/// Starts a planned absence of \p h, a host in \p d, if the budgets still hold with it.
rule_result start_planned(model::pool_document& d,
    model::host_record& h,
    const rule_context& c,
    const std::function<void(model::host_record&)>& start);

/// Takes \p host out of the pool's hosts and leaves it in released, for \p to. From the write of
/// this on it belongs to \p to.
void release(
    model::pool_document& d, const std::string& host, const std::string& to, bool as_guest);

// One function an event; the overloads of apply() below are in wish_rules.cpp, news_rules.cpp,
// drain_rules.cpp and transfer_rules.cpp.
rule_result apply_one(model::pool_document& d, const wish_drain& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const wish_leave& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const wish_move& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const wish_undo& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const wish_add& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const wish_forget& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const host_down& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const host_live& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const host_leaving& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const start_drain& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const undo_drain& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const confirm_quiet& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const hand_over& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const return_timeout& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const drop_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const release_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const adopt_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const forget_released& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const confirm_added& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const withdraw_added& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const hold_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const unhold_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const lend_host& e, const rule_context& c);
rule_result apply_one(model::pool_document& d, const send_guest_on& e, const rule_context& c);

} // namespace camphorhitch::fleet
