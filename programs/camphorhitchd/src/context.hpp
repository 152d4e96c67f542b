/// \file
/// What every service of the daemon receives: the record of this member, the ports, and the
/// mirrored documents.
#pragma once

#include "mirror.hpp"
#include "model/fleet.hpp"
#include "ports/http.hpp"
#include "ports/key_value.hpp"
#include "ports/peer.hpp"
#include "ports/platform.hpp"
#include "ports/scheduler.hpp"
#include "ports/telemetry.hpp"
#include "updater.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>

namespace camphorhitch::daemon
{

/// Periods and bounds of the daemon's periodic tasks.
struct timing_settings
{
    core::millis heartbeat_interval{500};  ///< interval between heartbeats to each peer
    core::millis membership_interval{250}; ///< interval between checks of the roster
    /// Interval between confirmations of the roster by the store. When the store becomes
    /// unreachable, the newest confirmation must still hold (3 s) after the peers' own store
    /// windows (1.5 s) and one heartbeat (0.5 s) have passed; otherwise all members refuse requests
    /// for a moment at the start of each outage.
    core::millis confirm_interval{700};
    core::millis lease_ttl{5000};          ///< time to live of the lease on this member's record
    core::millis fleet_interval{200};      ///< interval between decision rounds of pools and waves
    core::millis live_list_interval{1000}; ///< interval between reads of the live list
    core::millis max_live_list_age{5000}; ///< maximum age of the live list that the platform serves
    core::millis jobs_interval{250};      ///< interval between placement rounds of jobs
    core::millis max_stop_time{20000};    ///< maximum time for a graceful stop
};

/// Environment of a daemon: its member record, periods, ports and mirrored documents. It outlives
/// all services.
struct context
{
    model::member_record self;
    timing_settings timing;
    ports::scheduler scheduler;
    ports::key_value store;
    ports::http_client http;
    ports::peer_client peers;
    ports::platform platform;
    ports::telemetry telemetry;
    boost::random::mt19937_64 random;
    mirror* documents = nullptr;

    /// \return a random number in [0, 1).
    double random_unit()
    {
        return boost::random::uniform_01<double>()(random);
    }

    /// Runs \p fn every \p period, with a jitter of up to a tenth, until the process ends.
    void run_every(core::millis period, std::function<void()> fn)
    {
        const auto wait = core::millis{static_cast<std::int64_t>(
            static_cast<double>(period.count()) * (0.9 + 0.2 * random_unit()))};
        scheduler.after(wait,
            [this, period, fn = std::move(fn)]() mutable
            {
                fn();
                run_every(period, std::move(fn));
            });
    }

    /// \return what update_document() needs to write a document.
    updater document_updater()
    {
        return {*documents, store, scheduler};
    }

    void log(ports::log_level level, const char* event, ports::log_fields fields) const
    {
        telemetry.log(level, event, std::move(fields));
    }
};

} // namespace camphorhitch::daemon
