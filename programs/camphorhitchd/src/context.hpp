/// \file
/// What every service of the daemon is given: who we are, the ports, and the mirrored documents.
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

/// Times of the daemon's own rounds.
struct round_settings
{
    core::millis beat{500};       ///< between heartbeats to each peer
    core::millis membership{250}; ///< between looks at the roster
    /// Between confirmations by the store. When it goes out of reach, the newest one must still
    /// hold (3 s) when the peers own store windows (1.5 s) and a heartbeat (0.5 s) have passed;
    /// else all members refuse requests for a moment at the begin of each outage.
    core::millis confirm{700};
    core::millis lease_ttl{5000};     ///< of our member record
    core::millis fleet{200};          ///< between decision rounds of pools and waves
    core::millis live_list{1000};     ///< between reads of the live list
    core::millis live_list_lag{5000}; ///< the list is never older than this
    core::millis jobs{250};           ///< between placement rounds
    core::millis stop_bound{20000};   ///< most time for a graceful stop
};

struct context
{
    model::member_record self;
    round_settings rounds;
    ports::scheduler scheduler;
    ports::key_value store;
    ports::http_client http;
    ports::peer_client peers;
    ports::platform platform;
    ports::telemetry telemetry;
    boost::random::mt19937_64 random;
    mirror* documents = nullptr;

    double unit()
    {
        return boost::random::uniform_01<double>()(random);
    }

    /// Runs \p fn every \p period with up to a tenth of jitter, until the process ends.
    void every(core::millis period, std::function<void()> fn)
    {
        const auto wait = core::millis{
            static_cast<std::int64_t>(static_cast<double>(period.count()) * (0.9 + 0.2 * unit()))};
        scheduler.after(wait,
            [this, period, fn = std::move(fn)]() mutable
            {
                fn();
                every(period, std::move(fn));
            });
    }

    updater writer()
    {
        return {*documents, store, scheduler};
    }

    void log(ports::log_level level, const char* event, ports::log_fields fields) const
    {
        telemetry.log(level, event, std::move(fields));
    }
};

} // namespace camphorhitch::daemon
