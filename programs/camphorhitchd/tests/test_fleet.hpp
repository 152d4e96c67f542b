/// \file
/// Whole daemons in one process, on fakes at their ports and virtual time.
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

/// What an operator was answered.
struct told
{
    bool answered = false;
    int status = 0;
    std::string text; ///< of all results, each with its code in front unless that is "ok"
    bool settled = false;
};

struct test_daemon
{
    daemon_fakes::process process;
    daemon_fakes::log_recorder log;
    daemon_fakes::answer_recorder callers;
    daemon_fakes::answer_recorder operators;
    context ctx;
    std::unique_ptr<services> all;
};

struct test_fleet
{
    /// \param daemons how many; each is called e1, e2, ... and stands in zone a, b, ...
    explicit test_fleet(int daemons);

    test_daemon& at(std::size_t n);
    /// Adds a further daemon. \param incarnation fixed, so that runs are the same
    test_daemon& add(const std::string& member, const std::string& incarnation);
    bool run_until(const std::function<bool()>& holds, core::millis bound = core::millis{60000});
    void run_for(core::millis wait);
    /// Waits until all daemons are in the roster and fresh.
    bool wait_ready();
    /// Waits until all daemons that live take requests.
    bool wait_serving();
    /// Prints all log lines, for whoever looks into a failure.
    void dump() const;

    /// One operator's request to \p d, awaited.
    told ask(test_daemon& d, ports::http_request r, core::millis bound = core::millis{60000});
    told execute(test_daemon& d, const std::string& text, const std::string& command);
    told apply(test_daemon& d, const std::string& text, const std::string& command);
    told submit(test_daemon& d, const std::string& pool, const std::string& text);

    /// Hands a caller's request to \p d. \param key of idempotency, or empty
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

/// What a caller was answered; status 0 while there is no answer.
struct outcome
{
    int status = 0;
    std::string word; ///< Camphorhitch-Outcome
    std::string reason;
    std::string body;
};

outcome outcome_of(const test_daemon& d, ports::exchange_id id);

/// The operators' file of pool quotes with hosts h1, h2, ...
std::string small_fleet(int hosts);
/// The platform's side of those hosts.
void add_hosts(test_fleet& fleet, int hosts);

} // namespace camphorhitch::daemon
