// Parses the answer of a target and determines the outcome of the call.
#include "fields.hpp"
#include "transfer.hpp"

#include <algorithm>

namespace camphorhitch::http
{

namespace
{

constexpr std::size_t max_reserved_size = std::size_t{1} << 20; // bytes
constexpr int min_final_status = 200;
constexpr int max_final_status = 599;

std::size_t abort_answer(transfer& it)
{
    it.answer_too_large = true;
    return 0;
}

bool exceeds_limit(const transfer& it, std::size_t n)
{
    return !it.is_stream && it.received + n > it.call.largest_answer;
}

/// Resets the answer at each status line, since interim answers (1xx) precede the final one.
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

/// \return whether the length that the header announces is within the limit.
bool expect_body(transfer& it)
{
    const auto length = content_length(it.response.fields).value_or(0);
    if (it.is_stream || it.call.request.method == "HEAD")
    {
        return true;
    }
    it.response.body.reserve(std::min<std::uint64_t>(length, max_reserved_size));
    return length <= it.call.largest_answer;
}

bool is_protocol_error(CURLcode code)
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

/// \return whether the answer defines the end of its body. A body that ends with the connection
/// can't be distinguished from a truncated one, so it counts as broken.
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

ports::call_end classify_complete(const transfer& it, std::string& detail)
{
    if (it.response.status < min_final_status || it.response.status > max_final_status)
    {
        detail = "not a final status: " + std::to_string(it.response.status);
        return ports::call_end::answer_broken;
    }
    if (!it.is_stream && !has_marked_end(it))
    {
        detail = "the answer has neither a length nor chunks, so its end is undefined";
        return ports::call_end::answer_broken;
    }
    return ports::call_end::answered;
}

ports::call_end classify_failure(const transfer& it, CURLcode code, std::string& detail)
{
    const bool timed_out = code == CURLE_OPERATION_TIMEDOUT || it.idle_timed_out;
    detail = it.past_latest_start ? "the latest time to send the request has passed"
                                  : curl_easy_strerror(code);
    if (!it.request_started || (bytes_sent(it.easy) == 0 && !it.resend_blocked))
    {
        return ports::call_end::not_sent;
    }
    if (it.resend_blocked)
    {
        detail = "the connection was closed before the answer";
        return ports::call_end::interrupted;
    }
    if (it.answer_too_large)
    {
        detail = "the answer is too large";
        return ports::call_end::answer_broken;
    }
    const bool answer_started = it.response.status >= min_final_status && !timed_out;
    return answer_started || is_protocol_error(code) ? ports::call_end::answer_broken
                                                     : ports::call_end::interrupted;
}

} // namespace

long bytes_sent(CURL* easy)
{
    long n = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &n);
    return n;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* cls)
{
    auto& it = *static_cast<transfer*>(cls);
    const std::string_view line(data, size * count);
    if (exceeds_limit(it, line.size()))
    {
        return abort_answer(it);
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
        return expect_body(it) ? line.size() : abort_answer(it);
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
    if (exceeds_limit(it, n))
    {
        return abort_answer(it);
    }
    it.received += n;
    (it.is_stream ? it.undelivered : it.response.body).append(data, n);
    return n;
}

ports::http_outcome make_outcome(transfer& it, CURLcode code, core::mono_time now)
{
    ports::http_outcome out;
    long status = 0;
    curl_easy_getinfo(it.easy, CURLINFO_RESPONSE_CODE, &status);
    it.response.status = static_cast<int>(status);
    out.end = code == CURLE_OK ? classify_complete(it, out.detail)
                               : classify_failure(it, code, out.detail);
    out.response = std::move(it.response);
    out.new_connection = it.new_connection;
    out.elapsed = now - it.started;
    out.bytes_sent = static_cast<std::uint64_t>(bytes_sent(it.easy));
    out.bytes_received = it.received;
    return out;
}

} // namespace camphorhitch::http
