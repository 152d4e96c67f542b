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
    if (it.time->now() > it.call.latest_start)
    {
        it.too_late = true;
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

void add_line(transfer& to, const std::string& line)
{
    // The list's head is new only when the list was empty.
    auto* const head = curl_slist_append(to.lines.get(), line.c_str());
    if (!to.lines)
    {
        to.lines.reset(head);
    }
}

void add_lines(transfer& to)
{
    const auto& fields = to.call.request.fields;
    for (const auto& [name, text] : fields)
    {
        if (!is_hop_field(name))
        {
            std::string line = name;
            line += text.empty() ? ";" : ": ";
            line += text;
            add_line(to, line);
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
    // Addresses are numbers, there is nothing to remember; and the library looks through all that
    // it remembers after each call, a seventh of the processor time with 350 targets.
    curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, 0L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.fresh_connection ? 1L : 0L);
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

void prepare(transfer& it, const core::millis& unacknowledged)
{
    auto* const easy = it.easy;
    add_lines(it);
    set_wire(easy, it.call);
    set_method(easy, it.call.request);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, it.lines.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &it);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &it);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_made);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &unacknowledged);
}

} // namespace camphorhitch::http
