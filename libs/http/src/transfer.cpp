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

/// Called by curl when a connection is established, just before curl writes the request.
///
/// When a pooled connection turns out to have been closed by the target, curl silently sends the
/// request again on another connection, up to five times. The target may have run the first copy
/// before it closed the connection, so that, for example, a payment is charged twice. A second
/// start of the same call is therefore refused once any byte of the first has been written. This is
/// sufficient because curl calls this function before each write of a request. With
/// fresh_connection no pooled connection is used, and curl repeats requests only on pooled
/// connections.
int on_before_request(void* cls, char*, char*, int, int)
{
    auto& it = *static_cast<transfer*>(cls);
    if (it.request_started && bytes_sent(it.easy) > 0)
    {
        it.resend_blocked = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (it.time->now() > it.call.latest_start)
    {
        it.past_latest_start = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (!it.request_started)
    {
        long connects = 0;
        curl_easy_getinfo(it.easy, CURLINFO_NUM_CONNECTS, &connects);
        it.new_connection = connects > 0;
    }
    it.request_started = true;
    return CURL_PREREQFUNC_OK;
}

int on_socket_created(void* cls, curl_socket_t fd, curlsocktype)
{
    // Without this option the kernel retransmits for minutes when the peer has disappeared.
    const auto wait = static_cast<unsigned>(static_cast<const core::millis*>(cls)->count());
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

void add_header_line(transfer& to, const std::string& line)
{
    // The head of the list changes only when the list was empty.
    auto* const head = curl_slist_append(to.header_lines.get(), line.c_str());
    if (!to.header_lines)
    {
        to.header_lines.reset(head);
    }
}

void add_header_lines(transfer& to)
{
    const auto& fields = to.call.request.fields;
    for (const auto& [name, text] : fields)
    {
        if (!is_hop_field(name))
        {
            std::string line = name;
            line += text.empty() ? ";" : ": ";
            line += text;
            add_header_line(to, line);
        }
    }
    // Without this line curl waits for "100 Continue" before it sends a larger body.
    add_header_line(to, "Expect:");
    for (const char* name : {"Accept", "Content-Type"})
    {
        if (ports::find_field(fields, name) == nullptr)
        {
            add_header_line(to, std::string(name) + ":"); // prevents curl from adding a default
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

void set_connection_options(CURL* easy, const ports::http_call& call)
{
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + call.address + "/").c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, target_of(call.request).c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_PROXY, ""); // also ignores proxies from the environment
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    // Addresses are numeric, so a DNS cache is useless. curl scans its cache after each call, which
    // takes a seventh of the processor time with 350 targets.
    curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, 0L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.fresh_connection ? 1L : 0L);
}

} // namespace

std::string find_request_fault(const ports::http_call& call)
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
        return "the path or query contains blanks or control characters";
    }
    for (const auto& [name, text] : call.request.fields)
    {
        if (!is_safe_field(name, text))
        {
            return "a header field contains invalid characters";
        }
    }
    return {};
}

void configure_handle(transfer& it, const core::millis& unacknowledged)
{
    auto* const easy = it.easy;
    add_header_lines(it);
    set_connection_options(easy, it.call);
    set_method(easy, it.call.request);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, it.header_lines.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &it);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &it);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &unacknowledged);
}

} // namespace camphorhitch::http
