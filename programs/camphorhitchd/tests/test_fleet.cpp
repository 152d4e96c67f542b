#include "test_fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace camphorhitch::daemon
{

namespace
{

using json = nlohmann::json;

constexpr std::uint64_t first_seed = 7;

operator_answer read_answer(const ports::http_response& r)
{
    operator_answer out;
    out.answered = true;
    out.status = r.status;
    const auto body = json::parse(r.body, nullptr, false);
    if (!body.is_object() || !body.contains("results"))
    {
        out.text = r.body + '\n';
        return out;
    }
    out.settled = body["settled"].get<bool>();
    for (const auto& it : body["results"])
    {
        const auto code = it["code"].get<std::string>();
        out.text += (code == "ok" ? "" : code + ": ") + it["text"].get<std::string>();
    }
    return out;
}

} // namespace

test_fleet::test_fleet(int count) : store(time), targets(time), platform(time, targets), peers(time)
{
    for (int i = 1; i <= count; ++i)
    {
        const auto member = "e" + std::to_string(i);
        add(member, member + "-first");
    }
}

test_daemon& test_fleet::at(std::size_t n)
{
    return *daemons.at(n);
}

test_daemon& test_fleet::add(const std::string& member, const std::string& incarnation)
{
    daemons.push_back(std::make_unique<test_daemon>());
    auto& d = *daemons.back();
    const auto n = daemons.size();
    const auto zone = std::string(1, static_cast<char>('a' + (n - 1) % 3));
    const auto address = "10.1.0." + std::to_string(n) + ":7000";
    d.ctx.self = {member, incarnation, address, zone};
    d.ctx.scheduler = time.port(d.process);
    d.ctx.store = store.port(d.process);
    d.ctx.http = targets.port(d.process);
    d.ctx.peers = peers.port(d.process);
    d.ctx.platform = platform.port(d.process);
    d.ctx.telemetry = d.log.port(time);
    d.ctx.random.seed(first_seed + n);
    service_settings settings;
    settings.operator_token = operator_token;
    settings.metrics = []
    {
        return std::string{};
    };
    d.daemon_services = std::make_unique<services>(d.ctx, std::move(settings));
    d.daemon_services->requests->set_server(d.callers.port());
    d.daemon_services->operators->set_server(d.operators.port());
    peers.listen(d.ctx.self.address, d.process, d.daemon_services->handlers());
    d.daemon_services->start();
    return d;
}

bool test_fleet::run_until(const std::function<bool()>& holds, core::millis bound)
{
    return time.run_until(holds, bound);
}

void test_fleet::run_for(core::millis wait)
{
    time.run_for(wait);
}

bool test_fleet::wait_ready()
{
    return run_until(
        [this]
        {
            return std::all_of(daemons.begin(),
                daemons.end(),
                [this](const auto& it)
                {
                    const auto& m = *it->daemon_services->members;
                    return m.fresh() && m.in_roster() &&
                           m.roster().members.size() == daemons.size();
                });
        });
}

void test_fleet::dump() const
{
    for (const auto& it : daemons)
    {
        for (const auto& line : it->log.lines)
        {
            std::printf("%s %s\n", it->ctx.self.incarnation.c_str(), line.c_str());
        }
    }
}

operator_answer test_fleet::send_request(test_daemon& d, ports::http_request r, core::millis bound)
{
    r.fields.emplace_back("Authorization", "Bearer " + operator_token);
    const auto id = d.operators.send(d.process, d.daemon_services->operator_events(), std::move(r));
    run_until([&] { return d.operators.find(id) != nullptr; }, bound);
    const auto* answer = d.operators.find(id);
    return answer == nullptr ? operator_answer{} : read_answer(*answer);
}

operator_answer test_fleet::execute(
    test_daemon& d, const std::string& text, const std::string& command)
{
    const json body = {{"text", text}, {"command", command}, {"name", "session"}};
    return send_request(d, {"POST", "/v1/execute", "", {}, body.dump()});
}

operator_answer test_fleet::apply(
    test_daemon& d, const std::string& text, const std::string& command)
{
    return send_request(d, {"PUT", "/v1/apply", "", {{"Camphorhitch-Command", command}}, text});
}

operator_answer test_fleet::submit(test_daemon& d, const std::string& pool, const std::string& text)
{
    return send_request(d, {"POST", "/v1/jobs", "pool=" + pool, {}, text});
}

bool test_fleet::wait_serving()
{
    return run_until(
        [this]
        {
            return std::all_of(daemons.begin(),
                daemons.end(),
                [](const auto& it)
                { return it->process.dead || it->daemon_services->requests->ready(); });
        });
}

ports::exchange_id test_fleet::request(test_daemon& d,
    const std::string& service,
    const std::string& body,
    const std::string& key,
    const ports::http_fields& more)
{
    ports::http_request r{"POST", "/call/" + service + "/run", "", more, body};
    if (!key.empty())
    {
        r.fields.emplace_back("Idempotency-Key", key);
    }
    return d.callers.send(d.process, d.daemon_services->caller_events(), std::move(r));
}

caller_answer caller_answer_of(const test_daemon& d, ports::exchange_id id)
{
    const auto* answer = d.callers.find(id);
    if (answer == nullptr)
    {
        return {};
    }
    const auto field = [answer](const char* name)
    {
        const auto* found = ports::find_field(answer->fields, name);
        return found == nullptr ? std::string{} : *found;
    };
    return {
        answer->status, field("Camphorhitch-Outcome"), field("Camphorhitch-Reason"), answer->body};
}

std::string small_fleet(int hosts)
{
    std::string list;
    for (int n = 1; n <= hosts; ++n)
    {
        const auto number = std::to_string(n);
        const auto zone = std::string(1, static_cast<char>('a' + n % 3));
        list += (list.empty() ? "" : ", ");
        list += R"({"id": "h)" + number + R"(", "zone": ")" + zone + R"(", "rack": "r)" + zone +
                R"(", "target": "10.0.0.)" + number + R"(:80"})";
    }
    return R"({"configuration": {"pools": [{"name": "quotes", "services": ["quotes"],
  "policy": "steady", "budget": {"absent": 1, "absent_per_zone": 1}}],
  "policies": [{"name": "steady", "kind": "one_by_one", "fixed_buffer": 0,
    "return_timeout_ms": 20000}]},
 "pools": [{"pool": "quotes", "hosts": [)" +
           list + "]}]}";
}

void add_hosts(test_fleet& fleet, int hosts)
{
    for (int n = 1; n <= hosts; ++n)
    {
        const auto number = std::to_string(n);
        fleet.platform.add_host("h" + number, "10.0.0." + number + ":80", {32, 128, 0});
    }
}

} // namespace camphorhitch::daemon
