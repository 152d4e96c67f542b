/// \file
/// HTTP/1.1 server on the event loop, over libmicrohttpd. Fills ports::http_server.
#pragma once

#include "core/result.hpp"
#include "ports/http.hpp"
#include "reactor/event_loop.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace camphorhitch::http
{

/// Tells a caller what became of its request; every refusal of the server itself carries it.
inline constexpr const char* outcome_field = "Camphorhitch-Outcome";
inline constexpr const char* outcome_not_run = "not-run";

/// Bounds of one server. What is over them is refused before the owner hears of it.
struct server_limits
{
    std::size_t largest_body = std::size_t{1} << 20;    ///< bytes; 413 above
    std::size_t largest_header = std::size_t{16} << 10; ///< bytes; 431 above
    std::size_t most_connections = 1024;                ///< 503 above
    std::size_t most_exchanges = 512;                   ///< open at once; 503 above
    core::millis idle_timeout{60000};    ///< without a request the connection is closed
    core::millis request_timeout{10000}; ///< from request line to end of body; 408 after
    core::millis retry_after{1000};      ///< sent with 503, rounded up to seconds
};

class server_builder;
struct server_state;

/// Listens until destroyed. The loop and the owner of the events must outlive it.
class server
{
public:
    using builder = server_builder;

    server(server&&) noexcept;
    server& operator=(server&&) noexcept;
    ~server();

    /// The port struct; its functions are good while the server lives.
    ports::http_server port() const;

private:
    friend class server_builder;
    explicit server(std::unique_ptr<server_state> state);

    std::unique_ptr<server_state> state_;
};

class server_builder
{
public:
    server_builder& loop(reactor::event_loop& it);
    /// \param text "ip:port"; port 0 takes a free one
    server_builder& address(std::string text);
    server_builder& events(ports::http_events it);
    server_builder& limits(server_limits it);
    /// Fields that every answer carries, refusals included.
    server_builder& extra_fields(ports::http_fields it);
    /// Starts to listen.
    core::result<server> build() const;

private:
    reactor::event_loop* loop_ = nullptr;
    std::string address_;
    ports::http_events events_;
    server_limits limits_;
    ports::http_fields extra_fields_;
};

} // namespace camphorhitch::http
