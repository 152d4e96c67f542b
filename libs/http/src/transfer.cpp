#include "transfer.hpp"

#include "endpoint.hpp"
#include "fields.hpp"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace camphorhitch::http
{

namespace
{

constexpr std::size_t largest_reserve = std::size_t{1} << 20; // bytes
constexpr core::millis shortest_timeout{1};                   // curl takes 0 for "none"
constexpr int lowest_final = 200;
constexpr int highest_final = 599;

std::size_t refuse_more(transfer& it)
{
    it.deaf = true;
    return 0;
}

bool is_too_much(const transfer& it, std::size_t n)
{
    return !it.streams && it.received + n > it.call.largest_answer;
}

/// Starts the answer anew at each status line: interim answers (1xx) come before the final one.
void read_status_line(transfer& it)
{
    it.response = {};
    it.in_body = false;
}

void read_field(transfer& it, std::string_view line, std::size_t colon)
{
    constexpr std::string_view blanks = " \t\r\n";
    auto text = line.substr(colon + 1);
    const auto first = text.find_first_not_of(blanks);
    text = first == std::string_view::npos ? "" : text.substr(first);
    text = text.substr(0, text.find_last_not_of(blanks) + 1);
    it.response.fields.emplace_back(line.substr(0, colon), text);
}

/// \return whether the body that the header announces is within the bound.
bool expect_body(transfer& it)
{
    const auto length = content_length(it.response.fields).value_or(0);
    if (it.streams || it.call.request.method == "HEAD")
    {
        return true;
    }
    it.response.body.reserve(std::min<std::uint64_t>(length, largest_reserve));
    return length <= it.call.largest_answer;
}

/// Called by curl for each line of the answer's header, and of a trailer.
std::size_t on_header(char* data, std::size_t size, std::size_t count, void* cls)
{
    auto& it = *static_cast<transfer*>(cls);
    const std::string_view line(data, size * count);
    if (is_too_much(it, line.size()))
    {
        return refuse_more(it);
    }
    it.received += line.size();
    const auto colon = line.find(':');
    if (line.substr(0, 5) == "HTTP/")
    {
        read_status_line(it);
    }
    else if (line == "\r\n" || line == "\n")
    {
        it.in_body = true;
        return expect_body(it) ? line.size() : refuse_more(it);
    }
    else if (!it.in_body && colon != std::string_view::npos)
    {
        read_field(it, line, colon);
    }
    return line.size();
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* cls)
{
    auto& it = *static_cast<transfer*>(cls);
    const std::size_t n = size * count;
    if (it.streams)
    {
        it.pending.append(data, n);
        return n;
    }
    if (is_too_much(it, n))
    {
        return refuse_more(it);
    }
    it.received += n;
    it.response.body.append(data, n);
    return n;
}

long bytes_sent(CURL* easy)
{
    long n = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &n);
    return n;
}

/// Called by curl when a connection stands, just before it writes the request.
///
/// When a pooled connection turns out to have been closed by the other end, curl writes the
/// request again on another one, up to five times, and tells nobody. The other end may have run
/// the first copy before it closed: the symptom is a doubled charge. So a second start of one call
/// is refused as soon as any byte of the first has been written. This is enough because curl comes
/// through here before each write of a request. With fresh_connection there is nothing pooled in
/// the first place, and curl repeats only on pooled connections.
int on_before_request(void* cls, char*, char*, int, int)
{
    auto& it = *static_cast<transfer*>(cls);
    if (it.began && bytes_sent(it.easy) > 0)
    {
        it.resend_refused = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (!it.began)
    {
        long connects = 0;
        curl_easy_getinfo(it.easy, CURLINFO_NUM_CONNECTS, &connects);
        it.new_connection = connects > 0;
    }
    it.began = true;
    return CURL_PREREQFUNC_OK;
}

int on_socket_made(void* cls, curl_socket_t fd, curlsocktype)
{
    // A peer that vanished with our bytes on the way: without this the kernel tries for minutes.
    const auto wait = static_cast<unsigned>(reinterpret_cast<std::uintptr_t>(cls));
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &wait, sizeof(wait));
    return CURL_SOCKOPT_OK;
}

bool is_safe_target(const std::string& text)
{
    const auto is_visible = [](unsigned char c)
    {
        return c > 0x20 && c != 0x7f;
    };
    return std::all_of(text.begin(), text.end(), is_visible);
}

std::string target_of(const ports::http_request& it)
{
    const std::string path = it.path.empty() ? "/" : it.path;
    return it.query.empty() ? path : path + "?" + it.query;
}

void add_line(transfer& to, const std::string& line)
{
    auto* const head = curl_slist_append(to.lines.get(), line.c_str());
    to.lines.release();
    to.lines.reset(head);
}

void add_lines(transfer& to)
{
    const auto& fields = to.call.request.fields;
    for (const auto& [name, text] : fields)
    {
        if (!is_hop_field(name))
        {
            add_line(to, text.empty() ? name + ";" : name + ": " + text);
        }
    }
    add_line(to, "Expect:"); // curl would wait for a "100 Continue" with larger bodies
    for (const char* name : {"Accept", "Content-Type"})
    {
        if (ports::find_field(fields, name) == nullptr)
        {
            add_line(to, std::string(name) + ":"); // keeps curl from adding its own
        }
    }
}

void set_method(CURL* easy, const ports::http_request& request)
{
    const bool may_lack_body = request.method == "GET" || request.method == "DELETE";
    if (request.method == "HEAD")
    {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!request.body.empty() || !may_lack_body)
    {
        const auto size = static_cast<curl_off_t>(request.body.size());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, size);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void set_wire(CURL* easy, const ports::http_call& call)
{
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + call.address + "/").c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, target_of(call.request).c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_PROXY, ""); // not even from the environment
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.fresh_connection ? 1L : 0L);
}

void set_timeouts(CURL* easy, const transfer& it)
{
    const auto connect = std::max(it.call.connect_timeout, shortest_timeout);
    const auto total = std::max(it.call.total_timeout, shortest_timeout);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect.count()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, it.streams ? 0L : static_cast<long>(total.count()));
}

bool is_malformed(CURLcode code)
{
    switch (code)
    {
    case CURLE_UNSUPPORTED_PROTOCOL: // no status line (HTTP/0.9)
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_PARTIAL_FILE:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_WRITE_ERROR:
        return true;
    default:
        return false;
    }
}

/// \return whether the end of the answer's body was marked. A body that ends when the connection
/// does can't be told from one that was cut off, so it counts as broken.
bool has_marked_end(const transfer& it)
{
    const auto& answer = it.response;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const bool bodiless = it.call.request.method == "HEAD" || answer.status == no_content ||
                          answer.status == not_modified;
    return bodiless || ports::find_field(answer.fields, "Content-Length") != nullptr ||
           ports::find_field(answer.fields, "Transfer-Encoding") != nullptr;
}

ports::call_end judge_whole(const transfer& it, std::string& detail)
{
    if (it.response.status < lowest_final || it.response.status > highest_final)
    {
        detail = "not a final status: " + std::to_string(it.response.status);
        return ports::call_end::answer_broken;
    }
    if (!it.streams && !has_marked_end(it))
    {
        detail = "the answer has neither a length nor chunks, so its end can't be told";
        return ports::call_end::answer_broken;
    }
    return ports::call_end::answered;
}

ports::call_end judge_failure(const transfer& it, CURLcode code, std::string& detail)
{
    const bool timed_out = code == CURLE_OPERATION_TIMEDOUT || it.silent;
    detail = curl_easy_strerror(code);
    if (!it.began || (bytes_sent(it.easy) == 0 && !it.resend_refused))
    {
        return ports::call_end::not_sent;
    }
    if (it.resend_refused)
    {
        detail = "the connection was closed before the answer";
        return ports::call_end::interrupted;
    }
    if (it.deaf)
    {
        detail = "the answer is too large";
        return ports::call_end::answer_broken;
    }
    const bool began_answer = it.response.status >= lowest_final && !timed_out;
    return began_answer || is_malformed(code) ? ports::call_end::answer_broken
                                              : ports::call_end::interrupted;
}

} // namespace

std::string request_fault(const ports::http_call& call)
{
    if (!parse_endpoint(call.address))
    {
        return "'" + call.address + "' is not an address of the form ip:port";
    }
    if (!is_token(call.request.method))
    {
        return "the method is not a token";
    }
    if (!is_safe_target(target_of(call.request)))
    {
        return "the path or query holds blanks or control characters";
    }
    for (const auto& [name, text] : call.request.fields)
    {
        if (!is_safe_field(name, text))
        {
            return "a header field can't be written";
        }
    }
    return {};
}

void prepare(transfer& it, core::millis unacknowledged)
{
    auto* const easy = it.easy;
    add_lines(it);
    set_wire(easy, it.call);
    set_method(easy, it.call.request);
    set_timeouts(easy, it);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, it.lines.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &it);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &it);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_made);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, reinterpret_cast<void*>(unacknowledged.count()));
}

ports::http_outcome judge(transfer& it, CURLcode code, core::mono_time now)
{
    ports::http_outcome out;
    long status = 0;
    curl_easy_getinfo(it.easy, CURLINFO_RESPONSE_CODE, &status);
    it.response.status = static_cast<int>(status);
    out.end = code == CURLE_OK ? judge_whole(it, out.detail) : judge_failure(it, code, out.detail);
    out.response = std::move(it.response);
    out.new_connection = it.new_connection;
    out.elapsed = now - it.started;
    return out;
}

} // namespace camphorhitch::http
