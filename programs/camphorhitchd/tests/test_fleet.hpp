/// \file
/// Runs whole daemons in one process, on virtual time and with fakes at their ports.
#pragma once

#include "daemon_fakes/key_value.hpp"
#include "daemon_fakes/peers.hpp"
#include "daemon_fakes/platform.hpp"
#include "daemon_fakes/recorders.hpp"
#include "daemon_fakes/targets.hpp"
#include "daemon_fakes/virtual_time.hpp"
#include "services.hpp"

#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

inline const std::string operator_token = "operators-word";

/// Answer to an operator's call.
struct operator_answer
{
    bool answered = false;
    int status = 0;
    std::string text; ///< texts of all results, each prefixed by its code unless the code is "ok"
    bool settled = false;
};

/// A daemon with its fakes and the answers that it has sent.
struct test_daemon
{
    daemon_fakes::process process;
    daemon_fakes::log_recorder log;
    daemon_fakes::answer_recorder callers;
    daemon_fakes::answer_recorder operators;
    context ctx;
    std::unique_ptr<services> daemon_services;
};

/// Daemons that share one fake store, platform, network and set of targets.
struct test_fleet
{
    /// \param daemons number of daemons; they are named e1, e2, ... in zones a, b, ...
    explicit test_fleet(int daemons);

    test_daemon& at(std::size_t n);
    /// Adds a daemon.
    /// \param incarnation fixed id of the incarnation, so that runs are reproducible
    test_daemon& add(const std::string& member, const std::string& incarnation);
    /// Advances time until \p holds or \p bound has passed.
    /// \return whether \p holds.
    bool run_until(const std::function<bool()>& holds, core::millis bound = core::millis{60000});
    void run_for(core::millis wait);
    /// Waits until all daemons are in the roster and fresh.
    bool wait_ready();
    /// Waits until all daemons that have not been killed accept requests.
    bool wait_serving();
    /// Prints all log lines, to help to diagnose a failure.
    void dump() const;

    /// Sends an operator's request to \p d and waits for the answer.
    operator_answer send_request(
        test_daemon& d, ports::http_request r, core::millis bound = core::millis{60000});
    operator_answer execute(test_daemon& d, const std::string& text, const std::string& command);
    operator_answer apply(test_daemon& d, const std::string& text, const std::string& command);
    operator_answer submit(test_daemon& d, const std::string& pool, const std::string& text);

    /// Sends a caller's request to \p d.
    /// \param key idempotency key, or empty
    static ports::exchange_id request(test_daemon& d,
        const std::string& service,
        const std::string& body,
        const std::string& key = {},
        const ports::http_fields& more = {});

    daemon_fakes::virtual_time time;
    daemon_fakes::key_value store;
    daemon_fakes::targets targets;
    daemon_fakes::platform platform;
    daemon_fakes::peers peers;
    std::vector<std::unique_ptr<test_daemon>> daemons;
};

/// Answer to a caller's request; status 0 while there is no answer.
struct caller_answer
{
    int status = 0;
    std::string outcome; ///< value of the field Camphorhitch-Outcome
    std::string reason;
    std::string body;
};

/// \return the answer that \p d sent to the exchange.
caller_answer caller_answer_of(const test_daemon& d, ports::exchange_id id);

/// \return a setup file of pool quotes with hosts h1, h2, ...
std::string small_fleet(int hosts);
/// Adds those hosts to the platform.
void add_hosts(test_fleet& fleet, int hosts);

} // namespace camphorhitch::daemon
