/// \file
/// A raw HTTP client for the stand-ins' own tests. The client runs the server's loop while it
/// waits, so that a test needs only one thread and can check each byte.
#pragma once

#include "standin_support/event_loop.hpp"

#include <cstdint>
#include <string>

namespace camphorhitch::standin_support
{

/// One client connection.
class test_client
{
public:
    test_client(event_loop& loop, std::uint16_t port);
    ~test_client();
    test_client(const test_client&) = delete;
    test_client& operator=(const test_client&) = delete;

    /// \return whether the connection was accepted.
    bool is_connected() const
    {
        return connected_;
    }

    /// Sends a request.
    /// \param fields complete header lines, each with its CR LF
    void send(const std::string& method,
        const std::string& path,
        const std::string& body = "",
        const std::string& fields = "");

    /// Runs the loop until \p text has been received, and removes everything up to the end of
    /// \p text from the received bytes.
    /// \return the removed bytes; empty if the connection was closed before, or after a time-out.
    std::string read_through(const std::string& text);

    /// Reads one answer with a Content-Length.
    /// \return status and body, as "200 {...}", or "closed", or "silent" after a time-out.
    std::string read_answer();

    /// send() and read_answer().
    std::string call(const std::string& method,
        const std::string& path,
        const std::string& body = "",
        const std::string& fields = "");

    /// Waits until the server closes the connection.
    /// \return false after a time-out.
    bool is_closed();

    void close();

private:
    /// Reads the bytes that are available.
    void receive_available();
    bool wait_for(const std::function<bool()>& condition);

    event_loop& loop_;
    int fd_ = -1;
    bool connected_ = false;
    bool ended_ = false;
    std::string received_;
};

/// Runs \p loop until \p condition is true, for at most a few seconds.
/// \return whether \p condition became true.
bool run_until(event_loop& loop, const std::function<bool()>& condition);

} // namespace camphorhitch::standin_support
