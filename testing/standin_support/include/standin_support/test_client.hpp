/// \file
/// A raw HTTP client for the stand-ins' own tests. It turns the server's loop while it waits, so
/// that a test needs one thread only and sees each byte.
#pragma once

#include "standin_support/event_loop.hpp"

#include <cstdint>
#include <string>

namespace camphorhitch::standin_support
{

class test_client
{
public:
    test_client(event_loop& loop, std::uint16_t port);
    ~test_client();
    test_client(const test_client&) = delete;
    test_client& operator=(const test_client&) = delete;

    /// Whether the connection was accepted.
    bool is_connected() const
    {
        return connected_;
    }

    /// \param fields whole lines, each with its CR LF.
    void send(const std::string& method,
        const std::string& path,
        const std::string& body = "",
        const std::string& fields = "");

    /// Turns the loop until \p text has come; what came up to its end is taken.
    /// \return what came, or an empty string when the connection was closed before or nothing
    /// came for too long.
    std::string read_through(const std::string& text);

    /// Reads one answer with a Content-Length.
    /// \return its status and body, as "200 {...}", or "closed", or "silent".
    std::string read_answer();

    /// send() and read_answer().
    std::string call(const std::string& method,
        const std::string& path,
        const std::string& body = "",
        const std::string& fields = "");

    /// Waits until the other side closes the connection.
    /// \return false when it doesn't.
    bool is_closed();

    void close();

private:
    /// Turns the loop once and takes what has come.
    void turn();
    bool wait_for(const std::function<bool()>& holds);

    event_loop& loop_;
    int fd_ = -1;
    bool connected_ = false;
    bool ended_ = false;
    std::string come_;
};

/// Turns \p loop until \p holds, for at most a few seconds.
bool turn_until(event_loop& loop, const std::function<bool()>& holds);

} // namespace camphorhitch::standin_support
