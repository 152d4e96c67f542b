// The life of one exchange, from its request line to its answer.
#include "core/invariant.hpp"
#include "fields.hpp"
#include "refusal.hpp"
#include "server_state.hpp"

#include <algorithm>
#include <poll.h>

namespace camphorhitch::http
{

namespace
{

/// A refused body up to this size is read and dropped, so that the refusal can follow it: a
/// caller that still writes when the connection is reset may never see its answer.
constexpr std::size_t most_discarded = std::size_t{4} << 20; // bytes

constexpr int lowest_status = 200;
constexpr int highest_status = 599;

MHD_Result add_field(void* to, MHD_ValueKind, const char* name, const char* value)
{
    static_cast<ports::http_fields*>(to)->emplace_back(name, value == nullptr ? "" : value);
    return MHD_YES;
}

/// Splits "path?query"; takes the scheme and authority off an absolute form.
void split_uri(std::string_view uri, ports::http_request& to)
{
    constexpr std::string_view scheme = "http://";
    if (same_name(uri.substr(0, scheme.size()), scheme))
    {
        const auto path = uri.find('/', scheme.size());
        uri = path == std::string_view::npos ? "/" : uri.substr(path);
    }
    const auto mark = uri.find('?');
    to.path = uri.substr(0, mark);
    to.query = mark == std::string_view::npos ? "" : uri.substr(mark + 1);
}

void free_body(void* body)
{
    delete static_cast<std::string*>(body);
}

ssize_t no_bytes(void*, std::uint64_t, char*, std::size_t)
{
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

/// \return libmicrohttpd's response for an answer, which gives up its body.
MHD_Response* make_response(const std::string& method, ports::http_response& answer)
{
    const auto length = content_length(answer.fields);
    if (method == "HEAD" && answer.body.empty() && length)
    {
        // The length of the body that a GET would bring; no byte of it is asked for.
        constexpr std::size_t block = 1024;
        return MHD_create_response_from_callback(*length, block, no_bytes, nullptr, nullptr);
    }
    auto body = std::make_unique<std::string>(std::move(answer.body));
    auto* const out = MHD_create_response_from_buffer_with_free_callback_cls(
        body->size(), body->data(), free_body, body.get());
    if (out != nullptr)
    {
        static_cast<void>(body.release()); // libmicrohttpd frees it
    }
    return out;
}

void add_fields(MHD_Response* to, const ports::http_fields& fields)
{
    for (const auto& [name, value] : fields)
    {
        if (!is_hop_field(name) && is_safe_field(name, value))
        {
            MHD_add_response_header(to, name.c_str(), value.c_str());
        }
    }
}

/// Asks the socket: its caller may have left after the last look at the closures.
bool has_left(int fd)
{
    pollfd it{fd, POLLRDHUP, 0};
    return ::poll(&it, 1, 0) > 0;
}

std::size_t header_size(MHD_Connection* mhd)
{
    const auto* const info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    return info == nullptr ? 0 : info->header_size;
}

} // namespace

exchange* server_state::begin_exchange(MHD_Connection* mhd, const char* uri)
{
    const auto* const info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    auto& on = *static_cast<connection*>(info->socket_context);
    auto it = std::make_unique<exchange>();
    it->server = this;
    it->on = &on;
    it->id = ++last_exchange_;
    it->begun = time.now();
    split_uri(uri, it->request);
    on.current = it.get();
    return exchanges_.emplace(it->id, std::move(it)).first->second.get();
}

void server_state::end_exchange(exchange& it)
{
    const bool deserted = it.at == phase::with_owner;
    if (it.at == phase::with_owner || it.at == phase::answered)
    {
        --with_owner;
    }
    it.on->current = nullptr;
    it.on->idle_since = time.now();
    const auto id = it.id;
    exchanges_.erase(id);
    if (deserted)
    {
        events.on_gone(id);
    }
}

MHD_Result server_state::on_progress(
    exchange& it, const char* method, const char* upload, std::size_t* upload_size)
{
    switch (it.at)
    {
    case phase::request_line:
        read_header(it, method);
        return it.refused ? refuse_early(it) : MHD_YES;
    case phase::body:
        if (*upload_size > 0)
        {
            return read_body(it, upload, upload_size);
        }
        return it.refused ? queue_answer(it) : hand_over(it);
    case phase::with_owner:
        return MHD_YES;
    case phase::answered:
        return queue_answer(it);
    case phase::over:
        break;
    }
    return MHD_NO; // closes the connection
}

void server_state::read_header(exchange& it, const char* method)
{
    it.at = phase::body;
    it.request.method = method;
    MHD_get_connection_values(it.on->mhd, MHD_HEADER_KIND, add_field, &it.request.fields);
    it.answer = first_fault(it);
    it.refused = it.answer.status != 0;
    if (!it.refused)
    {
        const auto length = content_length(it.request.fields).value_or(0);
        it.request.body.reserve(std::min<std::uint64_t>(length, limits.largest_body));
    }
}

ports::http_response server_state::first_fault(const exchange& it) const
{
    const auto& fields = it.request.fields;
    if (it.on->over_limit)
    {
        return make_overload_refusal("too many connections", limits.retry_after);
    }
    if (exchanges_.size() > limits.most_exchanges)
    {
        return make_overload_refusal("too many open requests", limits.retry_after);
    }
    if (header_size(it.on->mhd) > limits.largest_header)
    {
        return make_refusal(status_header_too_large, "header too large");
    }
    // Two ways to find the end of one body: another hop may take the other way.
    if (ports::find_field(fields, "Content-Length") != nullptr &&
        ports::find_field(fields, "Transfer-Encoding") != nullptr)
    {
        return make_refusal(
            status_bad_request, "both Content-Length and Transfer-Encoding are given");
    }
    if (content_length(fields).value_or(0) > limits.largest_body)
    {
        return make_refusal(status_body_too_large, "body too large");
    }
    return {};
}

MHD_Result server_state::refuse_early(exchange& it)
{
    const auto& fields = it.request.fields;
    const bool waits_for_us = ports::find_field(fields, "Expect") != nullptr;
    if (waits_for_us || content_length(fields).value_or(0) > most_discarded)
    {
        return queue_answer(it);
    }
    return MHD_YES;
}

MHD_Result server_state::read_body(exchange& it, const char* upload, std::size_t* upload_size)
{
    const std::size_t n = *upload_size;
    *upload_size = 0;
    if (!it.refused && it.request.body.size() + n <= limits.largest_body)
    {
        it.request.body.append(upload, n);
        return MHD_YES;
    }
    if (!it.refused)
    {
        it.refused = true;
        it.answer = make_refusal(status_body_too_large, "body too large");
        it.request.body = {};
    }
    it.discarded += n;
    if (it.discarded <= most_discarded)
    {
        return MHD_YES;
    }
    it.at = phase::over;
    refuse_on_socket(it.on->fd, it.answer, extra_fields);
    return MHD_NO;
}

MHD_Result server_state::hand_over(exchange& it)
{
    if (it.on->peer_closed || has_left(it.on->fd))
    {
        it.at = phase::over;
        return MHD_NO;
    }
    if (ending_)
    {
        it.at = phase::over;
        refuse_on_socket(it.on->fd,
            make_overload_refusal("this entry host stops", limits.retry_after),
            extra_fields);
        return MHD_NO;
    }
    it.at = phase::with_owner;
    ++with_owner;
    const bool head = it.request.method == "HEAD";
    events.on_request(it.id, std::move(it.request));
    it.request = {};
    it.request.method = head ? "HEAD" : "";
    if (it.at == phase::answered)
    {
        return queue_answer(it);
    }
    MHD_suspend_connection(it.on->mhd);
    it.suspended = true;
    return MHD_YES;
}

void server_state::respond(ports::exchange_id id, ports::http_response response)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end() || found->second->at != phase::with_owner)
    {
        return; // the caller went away while the answer was being made
    }
    const bool valid = response.status >= lowest_status && response.status <= highest_status;
    core::require(valid, "an answer has a final status", std::to_string(response.status));
    auto& it = *found->second;
    it.at = phase::answered;
    it.answer = std::move(response);
    resume(it);
}

void server_state::resume(exchange& it)
{
    if (it.suspended)
    {
        it.suspended = false;
        MHD_resume_connection(it.on->mhd);
        // With epoll from outside nothing else tells that the library has work: the answer would
        // wait for the next sweep.
        time.cancel(work_timer_);
        work_timer_ = time.after(core::millis{0}, [this] { work(); });
    }
}

void server_state::on_closed(connection& it)
{
    it.peer_closed = true;
    auto* const current = it.current;
    if (current == nullptr || current->at != phase::with_owner)
    {
        return;
    }
    current->at = phase::over;
    --with_owner;
    resume(*current);
    events.on_gone(current->id);
}

MHD_Result server_state::queue_answer(exchange& it)
{
    auto* const response = make_response(it.request.method, it.answer);
    if (response == nullptr)
    {
        return MHD_NO;
    }
    add_fields(response, it.answer.fields);
    add_fields(response, extra_fields);
    if (quiesced_ || it.on->over_limit)
    {
        MHD_add_response_header(response, "Connection", "close");
    }
    const auto ok =
        MHD_queue_response(it.on->mhd, static_cast<unsigned>(it.answer.status), response);
    MHD_destroy_response(response);
    return ok;
}

} // namespace camphorhitch::http
