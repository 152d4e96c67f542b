/// \file
/// The parts of a pool's decision. Each works on one draft of the next document.
#pragma once

#include "fleet/pool_decider.hpp"
#include "fleet/pool_rules.hpp"

#include <string>
#include <vector>

namespace camphorhitch::fleet
{

/// The next document under construction.
struct draft
{
    const pool_inputs& in;
    pool_memory& memory;
    model::pool_document next;
    std::vector<std::string> notes;
};

/// Applies \p e to the draft. \return whether it changed it.
bool step(draft& d, const pool_event& e);

/// \return what is known of \p host; nothing known is not quiet.
host_activity activity_of(const pool_inputs& in, const std::string& host);

/// \return whether no other document names \p host, by a recent enough view.
bool is_settled(const draft& d, const std::string& host);

/// \return ids of the draft's hosts, to walk over while the draft changes.
std::vector<std::string> host_ids(const draft& d);

// ---- the parts, in the order in which they are taken ----

void take_live_news(draft& d);
void take_timeouts(draft& d);
void undo_what_must_not_go_on(draft& d);
void advance_drains(draft& d);
void exchange_hosts(draft& d);
void send_guests_on(draft& d);
void lend_spares(draft& d);
void start_wave_drains(draft& d);
void keep_buffer(draft& d);

} // namespace camphorhitch::fleet
