/// \file
/// Runs a case of the review: starts the stand-ins and three nodes, brings about the trouble, and
/// judges what clients, runners and the platform have seen.
///
/// usage: review_case DAEMON TEMPORARY_FOLDER RECORD CASE
/// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "platform.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <sys/wait.h>

namespace review
{

namespace
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;
const std::string host_name = "pule25.example";
const std::string prefix = "/puxa400/";

struct node
{
    std::string name;
    std::string settings;
    std::string log;
    int callers = 0;
    int health = 0;
    pid_t pid = -1;
};

class deployment
{
public:
    deployment(
        site_bounds bounds, std::string daemon, std::string folder, const std::string& record)
        : bounds_(bounds), record_(record), store_(record_), service_(record_, machines_),
          advice_(
              [](const request&) {
                  return response{200, R"({"good":[],"validityMs":3000})"};
              }),
          daemon_(std::move(daemon)), folder_(std::move(folder))
    {
    }

    void stop()
    {
        for (auto& it : nodes_)
        {
            end(it);
        }
    }

    void add_machines(int count, int per_rack)
    {
        for (int i = 1; i <= count; ++i)
        {
            const auto rack = "r1-" + std::to_string((i - 1) / per_rack + 1);
            machines_.push_back(std::make_unique<machine>(
                record_, store_, bounds_.max_hold_ms, i, "huvo11a", rack));
        }
    }

    /// Writes the configuration and starts the nodes.
    /// \return whether all are ready
    bool start(int count)
    {
        store_.put("op/config",
            {{"version", 7},
                {"routes",
                    {{{"name", "r-u6wsjnb"},
                        {"host", host_name},
                        {"prefix", prefix},
                        {"kind", "unsafe"},
                        {"timeoutMs", 3000},
                        {"targetDurationMs", 600},
                        {"priority", 0},
                        {"service", "huvo11a"},
                        {"maxAttempts", 3},
                        {"stretch", 1.6}}}},
                {"services",
                    {{{"name", "huvo11a"},
                        {"healthPath", "/healthz"},
                        {"maxConns", 64},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"enforcesCapacity", false},
                        {"standby", false}}}},
                {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}}}});
        for (int i = 0; i < count; ++i)
        {
            add_node("front-zone-" + std::to_string(i + 1));
        }
        for (auto& it : nodes_)
        {
            launch(it);
        }
        for (int i = 0; i < 200; ++i)
        {
            if (std::all_of(nodes_.begin(), nodes_.end(), is_ready))
            {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }

    /// Makes a call as a client does, and records it.
    std::optional<response> call_node(std::size_t index,
        const std::string& method,
        const std::string& id,
        const std::string& body,
        int wait_ms)
    {
        const auto text = method + " " + id + " at " + nodes_.at(index).name;
        record_.write("client: " + text);
        auto out = call(nodes_.at(index).callers,
            method,
            prefix + id,
            "Host: " + host_name + "\r\nX-Request-Deadline: 3000\r\n",
            body,
            wait_ms);
        record_.write("client: " + text + " -> " +
                      (out ? std::to_string(out->status) + " " + out->body
                           : "left after " + std::to_string(wait_ms) + " ms without an answer"));
        return out;
    }

    recorder& record()
    {
        return record_;
    }

    store& metadata()
    {
        return store_;
    }

    machine_service& service()
    {
        return service_;
    }

    machine_list& machines()
    {
        return machines_;
    }

    std::vector<node>& nodes()
    {
        return nodes_;
    }

private:
    void add_node(const std::string& name)
    {
        node it;
        it.name = name;
        it.callers = free_port();
        it.health = free_port();
        it.settings = folder_ + "/" + name + ".json";
        it.log = folder_ + "/" + name + ".log";
        const auto at = [](int port)
        {
            return "127.0.0.1:" + std::to_string(port);
        };
        const json settings{{"member", name},
            {"zone", "zone-a"},
            {"listen",
                {{"callers", at(it.callers)},
                    {"health", at(it.health)},
                    {"metrics", at(free_port())},
                    {"relay", at(free_port())}}},
            {"services",
                {{"store", store_.address()},
                    {"machines", service_.address()},
                    {"advice", advice_.address()}}},
            {"processor_share", 0.25},
            {"link_mbps", 1000.0},
            {"machine_orders_per_second", 64.0},
            {"timing",
                {{"longest_runner_lease_ms", bounds_.max_hold_ms},
                    {"stop_bound_s", 6},
                    {"longest_stop_ms", bounds_.stop_ms}}},
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
        std::ofstream(it.settings) << settings.dump(2);
        nodes_.push_back(std::move(it));
    }

    void launch(node& it) const
    {
        it.pid = ::fork();
        if (it.pid != 0)
        {
            std::ofstream(folder_ + "/pids", std::ios::app) << it.pid << '\n';
            return;
        }
        const int log = ::open(it.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execl(daemon_.c_str(),
            daemon_.c_str(),
            "--hosted",
            "--settings",
            it.settings.c_str(),
            static_cast<char*>(nullptr));
        ::_exit(127);
    }

    static void end(node& it)
    {
        if (it.pid > 0)
        {
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
            it.pid = -1;
        }
    }

    static bool is_ready(const node& it)
    {
        const auto out = call(it.health, "GET", "/api/readyz", "Host: a\r\n", "", 500);
        return out && out->status == 200;
    }

    site_bounds bounds_;
    recorder record_;
    store store_;
    machine_list machines_;
    machine_service service_;
    server advice_;
    std::string daemon_;
    std::string folder_;
    std::vector<node> nodes_;
};

/// \return the body of a job whose tasks take \p task_ms
std::string job_body(int tasks, int task_ms)
{
    const json step{{"count", tasks}, {"cpu", 500}, {"memMb", 256}, {"estimateMs", task_ms}};
    return json{{"spec", std::to_string(task_ms)}, {"steps", {step}}}.dump();
}

std::string job_id(int n)
{
    const auto digits = std::to_string(n);
    return "5c0e7a21d94b" + std::string(4 - digits.size(), '0') + digits;
}

bool has_trouble()
{
    const char* const it = std::getenv("TROUBLE");
    return it == nullptr || std::string{it} != "0";
}

int fail(deployment& d, const std::string& why)
{
    d.record().write("not run: " + why);
    return not_run;
}

/// A client leaves while its job is handed in, and cancels the job at another node.
int run_cancel(deployment& d)
{
    constexpr int contact_ms = 3000;
    constexpr int cancel_ms = 3000;
    constexpr int stop_ms = 200;
    constexpr int late_ms = 2000;
    constexpr int patience_ms = 300;
    const auto id = job_id(1);
    d.add_machines(6, 4);
    if (!d.start(3))
    {
        return fail(d, "the nodes are not ready");
    }
    sleep_ms(contact_ms + 1000);
    std::atomic<bool> over = false;
    std::thread others(
        [&]
        {
            for (int n = 100; !over; ++n)
            {
                call(d.nodes().at(static_cast<std::size_t>(n) % 3).callers,
                    "POST",
                    prefix + job_id(n),
                    "Host: " + host_name + "\r\n",
                    job_body(1, 200),
                    2500);
                sleep_ms(100);
            }
        });
    sleep_ms(1000);
    const auto troubled_at = d.record().now();
    if (has_trouble())
    {
        d.metadata().lose({"job/" + id, late_ms});
    }
    const auto handed_in = d.call_node(0, "POST", id, job_body(2, 30000), patience_ms);
    std::optional<response> cancelled;
    for (int i = 0;
         i < 5 && !(cancelled && (cancelled->status / 100 == 2 || cancelled->status == 410));
         ++i)
    {
        cancelled = d.call_node(1, "DELETE", id, "", 3000);
    }
    const auto acknowledged_at = d.record().now();
    const bool acknowledged =
        cancelled && (cancelled->status / 100 == 2 || cancelled->status == 410);
    sleep_ms(1000 - std::min<std::int64_t>(d.record().now() - troubled_at, 1000));
    d.record().write("store: 1 write of " + std::to_string(d.metadata().writes_while_losing()) +
                     " got no answer in the second of the trouble, if there was any");
    // Judged only when the trouble and the time of contact after it are over, so that all nodes are
    // in touch.
    const auto calm_at =
        std::max(acknowledged_at + cancel_ms + stop_ms, troubled_at + late_ms + contact_ms);
    sleep_ms(calm_at + 1000 - d.record().now());
    bool runs = false;
    for (int i = 0; i < 50; ++i)
    {
        for (const auto& it : d.machines())
        {
            runs = runs || it->runs_task_of(id);
        }
        sleep_ms(100);
    }
    bool started_late = false;
    for (const auto& it : d.machines())
    {
        for (const auto& each : it->starts())
        {
            started_late = started_late || (each.task.starts_with(id) && each.at_ms > calm_at);
        }
    }
    d.call_node(2, "GET", id, "", 3000);
    over = true;
    others.join();
    if (!acknowledged || (!has_trouble() && (!handed_in || handed_in->status != 200)))
    {
        return fail(d, "the job was not handed in or not cancelled");
    }
    d.record().write(std::string{"tasks of the cancelled job run "} +
                     std::to_string(calm_at + 1000) +
                     " ms after the start and later: " + (runs ? "yes" : "no") +
                     "; started later than that: " + (started_late ? "yes" : "no"));
    return runs || started_late ? broken : held;
}

/// The coordinator freezes while it connects to the machines' service, and gives its order after
/// its successor has given one for the same machine.
int run_thaw(deployment& d)
{
    constexpr int contact_ms = 3000;
    d.add_machines(8, 4);
    if (!d.start(3))
    {
        return fail(d, "the nodes are not ready");
    }
    sleep_ms(contact_ms + 1000);
    const auto holder = d.metadata().value_of("coord/leader");
    pid_t leader = -1;
    for (const auto& it : d.nodes())
    {
        leader = to_base64(it.name) == holder ? it.pid : leader;
    }
    if (leader < 0)
    {
        return fail(d, "no node holds the lead");
    }
    if (has_trouble())
    {
        d.service().set_silent(true);
    }
    const auto names = json::array({d.machines().front()->name()});
    d.metadata().put(
        "op/wave/1", {{"wave", 1}, {"machines", names}, {"durationS", 40}, {"cap", 1}});
    d.record().write("operator: wave 1 over one machine");
    if (has_trouble())
    {
        sleep_ms(300);
        d.record().write("platform: freezes the coordinator");
        ::kill(leader, SIGSTOP);
        sleep_ms(1500);
        d.service().set_silent(false);
        sleep_ms(2400);
        ::kill(leader, SIGCONT);
        d.record().write("platform: the coordinator goes on");
    }
    sleep_ms(3000);
    if (d.service().orders() == 0)
    {
        return fail(d, "the wave did not end");
    }
    d.record().write(std::string{"an order with a lower token after one with a higher: "} +
                     (d.service().had_lower_token() ? "yes" : "no"));
    return d.service().had_lower_token() ? broken : held;
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    constexpr int arguments = 5;
    if (argc != arguments)
    {
        std::cerr << "usage: review_case DAEMON TEMPORARY_FOLDER RECORD CASE\n";
        return review::not_run;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const bool thaw = std::string{argv[4]} == "thaw";
    constexpr review::site_bounds lensmandu{10000, 200};
    constexpr review::site_bounds robotlig{6000, 400};
    // The threads of the stand-ins use it until the process ends.
    auto& d = *new review::deployment(thaw ? robotlig : lensmandu, argv[1], argv[2], argv[3]);
    const int out = thaw ? review::run_thaw(d) : review::run_cancel(d);
    d.record().write("exit " + std::to_string(out));
    d.stop();
    ::_exit(out);
}
