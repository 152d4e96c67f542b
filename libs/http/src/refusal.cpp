#include "refusal.hpp"

#include "http/server.hpp"

#include <sys/socket.h>

namespace camphorhitch::http
{

ports::http_response make_refusal(int status, const std::string& reason)
{
    ports::http_response out;
    out.status = status;
    out.fields = {{outcome_field, outcome_not_run}, {"Content-Type", "application/json"}};
    out.body =
        std::string(R"({"outcome":")") + outcome_not_run + R"(","reason":")" + reason + "\"}\n";
    return out;
}

ports::http_response make_overload_refusal(const std::string& reason, core::millis retry_after)
{
    auto out = make_refusal(status_unavailable, reason);
    const auto wait = std::chrono::ceil<std::chrono::seconds>(retry_after);
    out.fields.emplace_back("Retry-After", std::to_string(wait.count()));
    return out;
}

void refuse_on_socket(
    int fd, const ports::http_response& refusal, const ports::http_fields& extra_fields)
{
    std::string text = "HTTP/1.1 " + std::to_string(refusal.status) + " Refused\r\n";
    for (const auto* const fields : {&refusal.fields, &extra_fields})
    {
        for (const auto& [name, value] : *fields)
        {
            text += name;
            text += ": ";
            text += value;
            text += "\r\n";
        }
    }
    text += "Connection: close\r\nContent-Length: " + std::to_string(refusal.body.size()) +
            "\r\n\r\n" + refusal.body;
    // The answer is lost when the socket's send buffer is full, since waiting would block the loop.
    ::send(fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::shutdown(fd, SHUT_RDWR);
}

} // namespace camphorhitch::http
