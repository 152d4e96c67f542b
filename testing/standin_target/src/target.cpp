#include "target.hpp"

#include "core/rendezvous.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::standin_target
{

using nlohmann::json;
using standin_support::exchange_ptr;
using standin_support::json_response;
using standin_support::object_reader;

namespace
{

constexpr const char* key_header = "Idempotency-Key";
constexpr const char* id_header = "Request-Id";
constexpr const char* delay_header = "Target-Delay-Ms";
constexpr const char* size_header = "Target-Answer-Bytes";
constexpr std::int64_t max_answer_bytes = 64 << 20; ///< bytes

std::string field(const ports::http_request& r, const char* name)
{
    const auto* const it = ports::find_field(r.fields, name);
    return it == nullptr ? "" : *it;
}

std::int64_t number_field(const ports::http_request& r, const char* name, std::int64_t otherwise)
{
    const auto text = field(r, name);
    auto n = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

std::string hex(std::uint64_t n)
{
    std::string text(16, '0');
    std::string digits(16, '0');
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), n, 16).ptr;
    const auto length = end - digits.data();
    std::copy(digits.data(), end, text.end() - length);
    return text;
}

/// \return an answer with the host and the request's id, so that a caller can detect an answer to
/// another request.
ports::http_response echo(
    const std::string& host, const std::string& id, const ports::http_request& r, std::int64_t size)
{
    json body = {{"host", host}, {"request_id", id}, {"echo", hex(core::stable_hash(r.body))}};
    const auto length = static_cast<std::int64_t>(body.dump().size());
    if (size > length)
    {
        body["pad"] =
            std::string(static_cast<std::size_t>(std::min(size, max_answer_bytes) - length), 'x');
    }
    auto answer = json_response(200, body);
    answer.fields.emplace_back(id_header, id);
    return answer;
}

} // namespace

target::target(standin_support::standin& s, run_log& log, target_settings settings)
    : standin_(s), run_log_(log), settings_(std::move(settings)),
      random_(s.settings.seed ^ core::stable_hash(settings_.host))
{
    port_ = &s.server.listen(
        settings_.port, [this](const exchange_ptr& pending) { on_request(pending); });
}

void target::count_run(const ports::http_request& r, const std::string& id)
{
    const auto now_ms = standin_support::unix_ms();
    const auto times = record_run(run_log_, id, {settings_.host, now_ms});
    const auto keyed = ports::find_field(r.fields, key_header) != nullptr;
    counts_.last_request_ms = now_ms;
    ++counts_.runs;
    counts_.keyed_runs += keyed ? 1 : 0;
    if (times > 1)
    {
        ++(keyed ? counts_.duplicates : counts_.repeats);
    }
}

void target::on_request(const exchange_ptr& pending)
{
    const auto& r = pending->request;
    auto id = field(r, key_header);
    if (id.empty())
    {
        id = field(r, id_header);
    }
    count_run(r, id);
    if (random_.chance(faults_.fail))
    {
        ++counts_.failures;
        pending->respond(standin_support::error_response(500, "the target fails what it gets"));
        return;
    }
    ++counts_.running;
    counts_.overloads += counts_.running > settings_.slots ? 1 : 0;
    counts_.max_running = std::max(counts_.max_running, counts_.running);
    const auto number = ++last_service_;
    const auto hangs = random_.chance(faults_.hang);
    pending->on_gone = [this, number, hangs]
    {
        ++counts_.abandoned;
        if (hangs)
        {
            finish(number);
        }
    };
    const core::millis asked{number_field(r, delay_header, settings_.delay.count())};
    const bool crowded = settings_.crowding && counts_.running > settings_.slots;
    const auto delay = crowded ? asked * counts_.running / settings_.slots : asked;
    services_[number] = {pending, std::move(id)};
    if (!hangs)
    {
        standin_.loop.after(delay + faults_.slow, [this, number] { finish(number); });
    }
}

void target::finish(std::uint64_t number)
{
    auto node = services_.extract(number);
    if (node.empty())
    {
        return; // The target went down and the request was cut off.
    }
    --counts_.running;
    answer(node.mapped());
}

void target::answer(const service& done)
{
    const auto& pending = done.pending;
    const auto& r = pending->request;
    counts_.swallowed += pending->is_silent() ? 1 : 0;
    const auto size = number_field(r, size_header, 0);
    if (random_.chance(faults_.cut))
    {
        pending->cut();
    }
    else if (random_.chance(faults_.malform))
    {
        pending->send_raw("HTTP/1.1 2x0 \x01\x02 nonsense\r\nContent-Length: many\r\n\r\n");
    }
    else if (random_.chance(faults_.truncate))
    {
        pending->truncate(echo(settings_.host, done.id, r, size));
    }
    else
    {
        const auto oversized = random_.chance(faults_.oversize);
        pending->respond(
            echo(settings_.host, done.id, r, oversized ? faults_.oversize_bytes : size));
    }
}

void target::go_down(bool planned)
{
    if (std::exchange(down_, true))
    {
        return;
    }
    const auto in_flight = std::exchange(services_, {});
    for (const auto& [number, it] : in_flight)
    {
        if (!it.pending->is_gone())
        {
            ++counts_.cut_off;
            counts_.cut_off_planned += planned ? 1 : 0;
        }
        it.pending->cut();
    }
    counts_.running = 0;
    port_->close();
    port_->cut_connections();
}

void target::go_up()
{
    down_ = false;
    port_->open();
}

void target::control(object_reader& command)
{
    bool flag = false;
    bool planned = false;
    command.read("planned", planned);
    if (command.read("down", flag))
    {
        flag ? go_down(planned) : go_up();
    }
    if (command.read("refuse", flag))
    {
        flag ? port_->close() : port_->open();
    }
    if (command.read("reset", flag) && flag)
    {
        faults_ = target_faults{};
    }
    if (command.read("reset_counts", flag) && flag)
    {
        const auto running = counts_.running;
        counts_ = target_counts{};
        counts_.running = running;
        counts_.max_running = running;
    }
    command.read_share("hang", faults_.hang);
    command.read_share("fail_all", faults_.fail);
    command.read_share("truncate", faults_.truncate);
    command.read_share("oversize", faults_.oversize);
    command.read("oversize_bytes", faults_.oversize_bytes);
    command.read_share("malform", faults_.malform);
    command.read_share("cut", faults_.cut);
    std::int64_t ms = 0;
    if (command.read("slow_ms", ms))
    {
        faults_.slow = core::millis{ms};
    }
    if (command.read("delay_ms", ms))
    {
        settings_.delay = core::millis{ms};
    }
    command.read("slots", settings_.slots);
    command.read("crowding", settings_.crowding);
    double share = 0;
    if (command.read_share("silent", share))
    {
        port_->silence([this, share] { return random_.chance(share); });
    }
}

json target::stats() const
{
    const auto& connections = port_->counts();
    return {{"host", settings_.host},
        {"port", port_->port()},
        {"down", down_},
        {"slots", settings_.slots},
        {"runs", counts_.runs},
        {"keyed_runs", counts_.keyed_runs},
        {"duplicates", counts_.duplicates},
        {"repeats", counts_.repeats},
        {"failures", counts_.failures},
        {"running", counts_.running},
        {"most_concurrent", counts_.max_running},
        {"overloads", counts_.overloads},
        {"abandoned", counts_.abandoned},
        {"cut_off", counts_.cut_off},
        {"cut_off_planned", counts_.cut_off_planned},
        {"swallowed", counts_.swallowed},
        {"last_request_ms", counts_.last_request_ms},
        {"connections", connections.open},
        {"most_connections", connections.max_open},
        {"total_connections", connections.total}};
}

} // namespace camphorhitch::standin_target
