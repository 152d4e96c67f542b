#include "store_state.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::store
{

namespace
{

constexpr std::size_t max_answer_size = std::size_t{64} << 20; // bytes
constexpr std::size_t max_line_size = std::size_t{64} << 20;   // bytes, of a watch's stream

} // namespace

store_state::store_state(http::client& through, settings s)
    : client_(through), port_(through.port()), settings_(std::move(s))
{
}

store_state::~store_state()
{
    for (const auto& it : calls_)
    {
        port_.cancel(it.second);
    }
    for (const auto& it : watches_)
    {
        port_.cancel(it.second.call);
    }
}

call_counts& store_state::counts_of(call_kind kind)
{
    return counts_.at(static_cast<std::size_t>(kind));
}

ports::http_call store_state::make_call(const char* path, std::string body) const
{
    ports::http_call out;
    out.address = settings_.address;
    out.request.method = "POST";
    out.request.path = path;
    out.request.fields = settings_.fields;
    out.request.body = std::move(body);
    out.connect_timeout = settings_.timeout;
    out.total_timeout = settings_.timeout;
    out.largest_answer = max_answer_size;
    return out;
}

void store_state::count_end(
    call_kind kind, ports::kv_status status, const ports::http_outcome& outcome)
{
    auto& it = counts_of(kind);
    it.bytes_sent += outcome.bytes_sent;
    it.bytes_received += outcome.bytes_received;
    it.rejections += status == ports::kv_status::rejected ? 1 : 0;
    const bool failed =
        status == ports::kv_status::unavailable || status == ports::kv_status::unknown;
    it.failures += failed ? 1 : 0;
}

void store_state::call(
    call_kind kind, const char* path, std::string body, effect what, answer_fn then)
{
    ++counts_of(kind).calls;
    const auto number = ++last_call_;
    const auto on_end = [this, kind, what, number, then = std::move(then)](
                            const ports::http_outcome& outcome)
    {
        calls_.erase(number);
        const auto status = status_of(outcome, what);
        count_end(kind, status, outcome);
        then(status, outcome);
    };
    calls_[number] = port_.send(make_call(path, std::move(body)), on_end);
}

ports::watch_id store_state::watch(
    const std::string& prefix, ports::revision from, watch_state made)
{
    const auto id = ++last_watch_;
    auto body = watch_body(prefix, from);
    made.body_size = body.size();
    auto& counts = counts_of(call_kind::watch);
    ++counts.calls;
    counts.bytes_sent += body.size();
    http::stream_call stream;
    stream.call = make_call("/v3/watch", std::move(body));
    stream.idle_timeout = settings_.watch_idle_timeout;
    stream.on_chunk = [this, id](std::string_view chunk)
    {
        on_chunk(id, chunk);
    };
    stream.on_end = [this, id](const ports::http_outcome& it)
    {
        on_stream_end(id, it);
    };
    made.call = client_.stream(std::move(stream));
    watches_.emplace(id, std::move(made));
    return id;
}

void store_state::cancel_watch(ports::watch_id id)
{
    const auto it = watches_.find(id);
    if (it != watches_.end())
    {
        port_.cancel(it->second.call);
        watches_.erase(it);
    }
}

void store_state::on_chunk(ports::watch_id id, std::string_view chunk)
{
    counts_of(call_kind::watch).bytes_received += chunk.size();
    auto& it = watches_.at(id);
    it.counted_bytes += chunk.size();
    it.line.append(chunk);
    // The watch is looked up in each iteration, since on_events may cancel it.
    for (auto found = watches_.find(id); found != watches_.end(); found = watches_.find(id))
    {
        auto& buffer = found->second.line;
        const auto end = buffer.find('\n');
        if (end == std::string::npos)
        {
            if (buffer.size() > max_line_size)
            {
                end_watch(id);
            }
            return;
        }
        const auto line = buffer.substr(0, end);
        buffer.erase(0, end + 1);
        on_line(id, line);
    }
}

void store_state::on_line(ports::watch_id id, const std::string& line)
{
    auto part = read_watch_line(line);
    if (!part.events.empty() && !part.ended)
    {
        const auto fn = watches_.at(id).on_events;
        fn(std::move(part.events));
    }
    else if (part.ended)
    {
        end_watch(id);
    }
}

void store_state::end_watch(ports::watch_id id)
{
    const auto fn = watches_.at(id).on_end;
    cancel_watch(id);
    fn();
}

void store_state::on_stream_end(ports::watch_id id, const ports::http_outcome& outcome)
{
    const auto& it = watches_.at(id);
    auto& counts = counts_of(call_kind::watch);
    counts.bytes_sent += outcome.bytes_sent - std::min(outcome.bytes_sent, it.body_size);
    counts.bytes_received += outcome.bytes_received - it.counted_bytes;
    counts.failures += outcome.end == ports::call_end::answered ? 0 : 1;
    end_watch(id);
}

} // namespace camphorhitch::store
