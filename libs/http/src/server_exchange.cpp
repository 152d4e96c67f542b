// The states of one exchange, from the request line to the answer.
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

/// The body of a refused request is read and discarded up to this size, so that the refusal can
/// follow it. A caller that is still writing when the connection is reset may never receive its
/// answer.
constexpr std::size_t max_discarded_size = std::size_t{4} << 20; // bytes

constexpr int lowest_status = 200;
constexpr int highest_status = 599;

MHD_Result add_field(void* to, MHD_ValueKind, const char* name, const char* value)
{
    static_cast<ports::http_fields*>(to)->emplace_back(name, value == nullptr ? "" : value);
    return MHD_YES;
}

/// Splits "path?query". Removes the scheme and authority of an absolute form.
void split_uri(std::string_view uri, ports::http_request& to)
{
    constexpr std::string_view scheme = "http://";
    if (same_name(uri.substr(0, scheme.size()), scheme))
    {
        const auto path = uri.find('/', scheme.size());
        uri = path == std::string_view::npos ? "/" : uri.substr(path);
    }
    const auto query_start = uri.find('?');
    to.path = uri.substr(0, query_start);
    to.query = query_start == std::string_view::npos ? "" : uri.substr(query_start + 1);
}

void free_body(void* body)
{
    delete static_cast<std::string*>(body);
}

ssize_t read_no_body(void*, std::uint64_t, char*, std::size_t)
{
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

/// \return libmicrohttpd's response for an answer, whose body is moved into it.
MHD_Response* make_response(const std::string& method, ports::http_response& answer)
{
    const auto length = content_length(answer.fields);
    if (method == "HEAD" && answer.body.empty() && length)
    {
        // The length is that of the body that a GET would return. libmicrohttpd requests no byte.
        constexpr std::size_t block = 1024;
        return MHD_create_response_from_callback(*length, block, read_no_body, nullptr, nullptr);
    }
    auto body = std::make_unique<std::string>(std::move(answer.body));
    auto* const out = MHD_create_response_from_buffer_with_free_callback_cls(
        body->size(), body->data(), free_body, body.get());
    if (out != nullptr)
    {
        static_cast<void>(body.release()); // libmicrohttpd frees the body
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

/// \return whether the caller has closed the connection. Reads the state of the socket, since the
/// caller may have closed it after the closure events were last read.
bool peer_has_closed(int fd)
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
    it->conn = &on;
    it->id = ++last_exchange_;
    it->started = time.now();
    split_uri(uri, it->request);
    on.current = it.get();
    return exchanges_.emplace(it->id, std::move(it)).first->second.get();
}

void server_state::end_exchange(exchange& it)
{
    const bool abandoned = it.current_phase == phase::with_handler;
    if (it.current_phase == phase::with_handler || it.current_phase == phase::answered)
    {
        --exchanges_in_progress;
    }
    it.conn->current = nullptr;
    it.conn->idle_since = time.now();
    const auto id = it.id;
    exchanges_.erase(id);
    if (abandoned)
    {
        events.on_gone(id);
    }
}

MHD_Result server_state::on_progress(
    exchange& it, const char* method, const char* upload, std::size_t* upload_size)
{
    switch (it.current_phase)
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
    case phase::with_handler:
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
    it.current_phase = phase::body;
    it.request.method = method;
    MHD_get_connection_values(it.conn->mhd, MHD_HEADER_KIND, add_field, &it.request.fields);
    it.answer = find_refusal(it);
    it.refused = it.answer.status != 0;
    if (!it.refused)
    {
        const auto length = content_length(it.request.fields).value_or(0);
        it.request.body.reserve(std::min<std::uint64_t>(length, limits.max_body_size));
    }
}

ports::http_response server_state::find_refusal(const exchange& it) const
{
    const auto& fields = it.request.fields;
    if (it.conn->over_limit)
    {
        return make_overload_refusal("too many connections", limits.retry_after);
    }
    if (exchanges_.size() > limits.max_exchanges)
    {
        return make_overload_refusal("too many open requests", limits.retry_after);
    }
    if (header_size(it.conn->mhd) > limits.max_header_size)
    {
        return make_refusal(status_header_too_large, "header too large");
    }
    // With both fields, another hop may determine the end of the body differently.
    if (ports::find_field(fields, "Content-Length") != nullptr &&
        ports::find_field(fields, "Transfer-Encoding") != nullptr)
    {
        return make_refusal(
            status_bad_request, "both Content-Length and Transfer-Encoding are given");
    }
    if (content_length(fields).value_or(0) > limits.max_body_size)
    {
        return make_refusal(status_body_too_large, "body too large");
    }
    return {};
}

MHD_Result server_state::refuse_early(exchange& it)
{
    const auto& fields = it.request.fields;
    const bool expects_continue = ports::find_field(fields, "Expect") != nullptr;
    if (expects_continue || content_length(fields).value_or(0) > max_discarded_size)
    {
        return queue_answer(it);
    }
    return MHD_YES;
}

MHD_Result server_state::read_body(exchange& it, const char* upload, std::size_t* upload_size)
{
    const std::size_t n = *upload_size;
    *upload_size = 0;
    if (!it.refused && it.request.body.size() + n <= limits.max_body_size)
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
    if (it.discarded <= max_discarded_size)
    {
        return MHD_YES;
    }
    it.current_phase = phase::over;
    refuse_on_socket(it.conn->fd, it.answer, extra_fields);
    return MHD_NO;
}

MHD_Result server_state::hand_over(exchange& it)
{
    if (it.conn->peer_closed || peer_has_closed(it.conn->fd))
    {
        it.current_phase = phase::over;
        return MHD_NO;
    }
    if (shutting_down_)
    {
        it.current_phase = phase::over;
        refuse_on_socket(it.conn->fd,
            make_overload_refusal("this entry host stops", limits.retry_after),
            extra_fields);
        return MHD_NO;
    }
    it.current_phase = phase::with_handler;
    ++exchanges_in_progress;
    const bool head = it.request.method == "HEAD";
    events.on_request(it.id, std::move(it.request));
    it.request = {};
    it.request.method = head ? "HEAD" : "";
    if (it.current_phase == phase::answered)
    {
        return queue_answer(it);
    }
    MHD_suspend_connection(it.conn->mhd);
    it.suspended = true;
    return MHD_YES;
}

void server_state::respond(ports::exchange_id id, ports::http_response response)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end() || found->second->current_phase != phase::with_handler)
    {
        return; // the caller disconnected while the answer was being prepared
    }
    const bool valid = response.status >= lowest_status && response.status <= highest_status;
    core::require(valid, "an answer has a final status", std::to_string(response.status));
    auto& it = *found->second;
    it.current_phase = phase::answered;
    it.answer = std::move(response);
    resume(it);
}

void server_state::resume(exchange& it)
{
    if (it.suspended)
    {
        it.suspended = false;
        MHD_resume_connection(it.conn->mhd);
        // With an external epoll loop nothing else signals that the library has work, and the
        // answer would wait for the next timeout check.
        time.cancel(daemon_timer_);
        daemon_timer_ = time.after(core::millis{0}, [this] { run_daemon(); });
    }
}

void server_state::on_peer_closed(connection& it)
{
    it.peer_closed = true;
    auto* const current = it.current;
    if (current == nullptr || current->current_phase != phase::with_handler)
    {
        return;
    }
    current->current_phase = phase::over;
    --exchanges_in_progress;
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
    if (stopped_accepting_ || it.conn->over_limit)
    {
        MHD_add_response_header(response, "Connection", "close");
    }
    const auto ok =
        MHD_queue_response(it.conn->mhd, static_cast<unsigned>(it.answer.status), response);
    MHD_destroy_response(response);
    return ok;
}

} // namespace camphorhitch::http
