// A small deployment: nodes of the system as processes, and clients that call them.
#pragma once

#include "platform.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin
{

// One node of the system, started as the deploy file says.
class node
{
public:
    node(std::string name, std::string ip, std::string zone, std::string folder)
        : name_(std::move(name)), ip_(std::move(ip)), zone_(std::move(zone)),
          folder_(std::move(folder)), callers_(free_port(ip_)), health_(free_port(ip_)),
          metrics_(free_port(ip_)), relay_(free_port(ip_))
    {
    }

    ~node()
    {
        kill();
    }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    const std::string& name() const
    {
        return name_;
    }

    void write_settings(const std::string& store, const std::string& machines) const
    {
        const auto at = [this](int port)
        {
            return ip_ + ":" + std::to_string(port);
        };
        const json settings{{"member", name_},
            {"zone", zone_},
            {"listen",
                {{"callers", at(callers_)},
                    {"health", at(health_)},
                    {"metrics", at(metrics_)},
                    {"relay", at(relay_)}}},
            {"services", {{"store", store}, {"machines", machines}, {"advice", ""}}},
            {"processor_share", 0.25},
            {"link_mbps", 1000.0},
            {"machine_orders_per_second", 64.0},
            {"timing",
                {{"longest_runner_lease_ms", runner::max_hold_ms},
                    {"stop_bound_s", 6},
                    {"longest_stop_ms", 200}}},
            {"policy", {{"moves", true}}},
            {"conditions",
                {"base",
                    "drain",
                    "config",
                    "cost",
                    "recover",
                    "sched",
                    "platform",
                    "advice",
                    "upkeep",
                    "sharing"}}};
        std::ofstream(settings_file()) << settings.dump(2);
    }

    void start()
    {
        const auto file = settings_file();
        const auto log = folder_ + "/" + name_ + ".log";
        process_ = ::fork();
        if (process_ == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no process is left behind if the play is ended
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/bin/camphorhitchd",
                "target/bin/camphorhitchd",
                "--hosted",
                "--settings",
                file.c_str(),
                nullptr);
            ::_exit(127);
        }
    }

    void send(int signal) const
    {
        if (process_ > 0)
        {
            ::kill(process_, signal);
        }
    }

    void kill()
    {
        if (process_ > 0)
        {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }

    bool has_ended()
    {
        return process_ <= 0 || ::waitpid(process_, nullptr, WNOHANG) != 0;
    }

    bool ready() const
    {
        const auto head = "GET /api/readyz HTTP/1.1\r\nHost: " + ip_ + "\r\n";
        return call(ip_, health_, head, "", milliseconds{500}).status == 200;
    }

    response client_call(const std::string& method,
        const std::string& path,
        const std::string& body = "",
        milliseconds timeout = milliseconds{3000}) const
    {
        const auto head = method + " " + path + " HTTP/1.1\r\nHost: q.example\r\n" +
                          "X-Request-Deadline: " + std::to_string(timeout.count()) + "\r\n";
        return call(ip_, callers_, head, body, timeout);
    }

private:
    std::string settings_file() const
    {
        return folder_ + "/" + name_ + ".json";
    }

    std::string name_;
    std::string ip_;
    std::string zone_;
    std::string folder_;
    int callers_;
    int health_;
    int metrics_;
    int relay_;
    pid_t process_ = -1;
};

struct deployment
{
    recorder& record;
    store platform_store{"127.0.0.1", 0};
    cloud machines;
    std::vector<std::unique_ptr<node>> nodes;
    std::mt19937_64 random{std::random_device{}()};

    deployment(recorder& to, const std::string& folder, runner_events events)
        : record(to), machines("127.0.0.1", platform_store, to, std::move(events))
    {
        for (int i = 1; i <= 3; ++i)
        {
            const auto n = std::to_string(i);
            nodes.push_back(
                std::make_unique<node>("front-" + n, "127.0.0." + n, "zone-" + n, folder));
            nodes.back()->write_settings(platform_store.address(), machines.address());
        }
        const json config{{"version", 1},
            {"routes",
                {{{"name", "r-1"},
                    {"host", "q.example"},
                    {"prefix", "/q/"},
                    {"kind", "unsafe"},
                    {"timeoutMs", 3000},
                    {"targetDurationMs", 600},
                    {"priority", 0},
                    {"service", "quoting"},
                    {"maxAttempts", 3},
                    {"stretch", 1.6}}}},
            {"services",
                {{{"name", "quoting"},
                    {"healthPath", "/healthz"},
                    {"maxConns", 64},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"enforcesCapacity", false},
                    {"standby", false}}}},
            {"limits",
                {{"maxHeaderBytes", 16384},
                    {"maxBodyBytes", 262144},
                    {"headerTimeoutMs", 3000},
                    {"idleTimeoutMs", 15000}}}};
        platform_store.put("op/config", config.dump());
    }

    std::string new_id()
    {
        char id[17];
        std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(random()));
        return id;
    }

    node& any_node()
    {
        return *nodes[random() % nodes.size()];
    }

    // \return whether all nodes are ready in time.
    bool start_nodes()
    {
        for (auto& it : nodes)
        {
            it->start();
        }
        const auto until = now_ms() + 15000;
        while (now_ms() < until)
        {
            if (std::all_of(nodes.begin(), nodes.end(), [](auto& it) { return it->ready(); }))
            {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }

    // Submits a job as a client does: again with the same id, at any node, until it is accepted.
    // \return whether it was accepted.
    bool submit(const std::string& id, const json& steps, const std::string& spec)
    {
        const auto body = json{{"spec", spec}, {"steps", steps}}.dump();
        for (int i = 0; i < 4; ++i)
        {
            auto& to = any_node();
            const auto out = to.client_call("POST", "/q/" + id, body);
            record.line("POST " + id + " at " + to.name() + ": " + std::to_string(out.status));
            if (out.status / 100 == 2)
            {
                return true;
            }
            sleep_ms(200);
        }
        return false;
    }

    // \return the state that a client is shown; empty: no answer, or another status than 200.
    std::string state_of(const std::string& id)
    {
        auto& to = any_node();
        const auto out = to.client_call("GET", "/q/" + id);
        const auto body = json::parse(out.body, nullptr, false);
        const auto state =
            out.status == 200 && body.is_object() ? body.value("state", std::string{}) : "";
        record.line(
            "GET " + id + " at " + to.name() + ": " + std::to_string(out.status) + " " + state);
        return state;
    }
};

} // namespace standin
