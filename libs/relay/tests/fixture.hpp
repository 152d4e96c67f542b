/// \file
/// Runs a relay pool and relays on loopback. Each has its own event loop, so that a test can pause
/// it.
#pragma once

#include "http_fakes/fakes.hpp"
#include "relay/pool.hpp"
#include "relay/server.hpp"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::relay::testing
{

/// Collects log lines as "event key=value", and the newest value of each gauge.
struct log_lines
{
    std::vector<std::string> lines;
    std::map<std::string, double> gauges;

    ports::telemetry port()
    {
        ports::telemetry out;
        out.log = [this](ports::log_level, const std::string& event, const ports::log_fields& all)
        {
            auto line = event;
            for (const auto& [key, text] : all)
            {
                line += ' ';
                line += key;
                line += '=';
                line += text;
            }
            lines.push_back(line);
        };
        out.count = [](const std::string&, const ports::metric_labels&, double) {
        };
        out.gauge = [this](const std::string& name, const ports::metric_labels&, double v)
        {
            gauges[name] = v;
        };
        return out;
    }

    /// \return all lines, for the message of a failed check.
    std::string text() const
    {
        std::string out;
        for (const auto& it : lines)
        {
            out += it + '\n';
        }
        return out;
    }

    bool has(const std::string& part) const
    {
        for (const auto& it : lines)
        {
            if (it.find(part) != std::string::npos)
            {
                return true;
            }
        }
        return false;
    }
};

/// Runners that answer immediately, or when the test releases their answers.
struct fake_runners
{
    std::vector<std::string> received_orders; ///< kind, runner and task of each order
    bool answers = true;
    bool unreachable = false;                        ///< orders end as unknown
    std::vector<std::function<void()>> held_answers; ///< answers that are held back

    /// \return the answer to each poll of the runner.
    static ports::poll_answer poll_of(const std::string& runner)
    {
        ports::poll_answer out;
        out.call = {ports::runner_verdict::done, 482113};
        out.running.push_back({"job.0.1.2 of " + runner, 7, "saved", 41, 12});
        out.ended.push_back({58, "job.0.0.1", 3, ports::run_end::failed, ""});
        return out;
    }

    void answer(std::function<void()> reply)
    {
        if (answers)
        {
            reply();
        }
        else
        {
            held_answers.push_back(std::move(reply));
        }
    }

    ports::runners port()
    {
        const auto order = [this](const char* kind)
        {
            return [this, kind](const ports::runner_ref& to, const auto& o, auto done)
            {
                received_orders.push_back(std::string(kind) + ' ' + to.id + ' ' + o.task);
                const ports::runner_answer good{ports::runner_verdict::done, 5};
                answer([done, good, this] { done(unreachable ? ports::runner_answer{} : good); });
            };
        };
        ports::runners out;
        out.start = order("start");
        out.stop = order("stop");
        out.throttle = order("pace");
        out.poll = [this](const ports::runner_ref& to, const ports::poll_order&, auto done)
        {
            received_orders.push_back("poll " + to.id);
            answer([done, id = to.id] { done(poll_of(id)); });
        };
        return out;
    }
};

/// A node with a relay.
struct relay_node
{
    std::string member;
    std::string zone;
    reactor::event_loop loop = reactor::event_loop::builder().build();
    fake_runners runners;
    log_lines log;
    core::millis suspended_for{0}; ///< how long the machine was suspended
    bool paused = false;
    std::unique_ptr<server> instance;
    std::uint16_t port = 0;

    explicit relay_node(std::string name, std::string in = "z")
        : member(std::move(name)), zone(std::move(in))
    {
        open("127.0.0.1:0");
    }

    server_limits limits; ///< take effect with the next open()

    void open(const std::string& address)
    {
        const auto boot_now = [this]
        {
            return loop.scheduler().now() + suspended_for;
        };
        auto opened = server::open(address, {&loop, runners.port(), log.port(), boot_now}, limits);
        instance = std::move(core::value(opened));
        port = instance->port();
    }

    ports::relay_endpoint endpoint(double share = 1) const
    {
        return {member, http_fakes::loopback(port), zone, share};
    }
};

/// The coordinator's node with its relay pool, and the relay nodes.
struct pool_fixture
{
    reactor::event_loop loop = reactor::event_loop::builder().build();
    fake_runners local;
    log_lines log;
    std::list<relay_node> relays;
    /// Longest iteration of all loops; large when the machine is busy.
    core::micros max_iteration{0};
    bool has_lease = true; ///< the coordinator holds its lease
    std::unique_ptr<pool> instance;
    ports::runners port;

    explicit pool_fixture(pool_settings s = settings_for_one_runner())
    {
        instance = std::make_unique<pool>(pool_parts{&loop,
                                              "own",
                                              local.port(),
                                              log.port(),
                                              [this]
                                              {
                                                  return has_lease;
                                              }},
            s);
        port = instance->port();
    }

    static pool_settings settings_for_one_runner()
    {
        pool_settings s;
        s.min_runners = 1;
        return s;
    }

    relay_node& add(const std::string& member, const std::string& zone = "z")
    {
        return relays.emplace_back(member, zone);
    }

    std::vector<ports::relay_endpoint> endpoints() const
    {
        std::vector<ports::relay_endpoint> out;
        for (const auto& it : relays)
        {
            out.push_back(it.endpoint());
        }
        return out;
    }

    /// Runs one iteration of each event loop that is not paused.
    void run_iteration()
    {
        const auto started = loop.scheduler().now();
        loop.run_once(core::millis{2});
        for (auto& it : relays)
        {
            if (!it.paused)
            {
                it.loop.run_once(core::millis{1});
            }
        }
        max_iteration = std::max(max_iteration, loop.scheduler().now() - started);
    }

    bool run_until(const std::function<bool()>& holds)
    {
        const auto end = loop.scheduler().now() + http_fakes::give_up;
        while (!holds() && loop.scheduler().now() < end)
        {
            run_iteration();
        }
        return holds();
    }

    void run_for(core::millis wait)
    {
        const auto end = loop.scheduler().now() + wait;
        run_until([&] { return loop.scheduler().now() >= end; });
    }

    /// Starts a term and connects to all relays.
    /// \param token the first fencing token of the term
    bool connect(std::int64_t token = 1)
    {
        instance->begin(token);
        instance->set_relays(endpoints());
        bool polled = false;
        poll("first", [&](const ports::poll_answer&) { polled = true; });
        return run_until([&] { return polled && connected() == relays.size(); });
    }

    std::size_t connected() const
    {
        std::size_t n = 0;
        for (const auto& it : log.lines)
        {
            n += it.starts_with("relay_connected") || it.starts_with("relay_back") ? 1U : 0U;
        }
        return n;
    }

    void poll(const std::string& runner,
        std::function<void(ports::poll_answer)> done,
        const std::string& zone = "z") const
    {
        port.poll({runner, "10.0.0.1:80", zone}, {1000, 1, 0, core::millis{1}}, std::move(done));
    }

    void start(const std::string& runner,
        const std::string& task,
        std::function<void(ports::runner_answer)> done,
        std::int64_t token = 1) const
    {
        port.start({runner, "10.0.0.1:80", "z"},
            {task, 1, "payload", 1000, token, "", ""},
            std::move(done));
    }
};

} // namespace camphorhitch::relay::testing
