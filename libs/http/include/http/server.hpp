/// \file
/// HTTP/1.1 server on the event loop, based on libmicrohttpd. Implements ports::http_server.
#pragma once

#include "core/result.hpp"
#include "ports/http.hpp"
#include "reactor/event_loop.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace camphorhitch::http
{

/// Header field that states the outcome of a request. Every refusal that the server itself makes
/// has this field.
inline constexpr const char* outcome_field = "Camphorhitch-Outcome";
inline constexpr const char* outcome_not_run = "not-run";

/// Limits of one server. A request beyond a limit is refused without a call of on_request.
struct server_limits
{
    std::size_t max_body_size = std::size_t{1} << 20;    ///< bytes; a larger body gets 413
    std::size_t max_header_size = std::size_t{16} << 10; ///< bytes; a larger header gets 431
    std::size_t max_connections = 1024;  ///< requests on further connections get 503
    std::size_t max_exchanges = 512;     ///< open exchanges; further requests get 503
    core::millis idle_timeout{60000};    ///< a connection without a request is closed after this
    core::millis request_timeout{10000}; ///< from the request line to the end of the body; then 408
    core::millis retry_after{1000};      ///< Retry-After of a 503, rounded up to seconds
};

class server_builder;
struct server_state;

/// An HTTP server that listens until it is destroyed. The event loop and the objects that the event
/// callbacks use must outlive the server.
class server
{
public:
    using builder = server_builder;

    server(server&&) noexcept;
    server& operator=(server&&) noexcept;
    ~server();

    /// \return the port, whose functions are valid while the server exists.
    ports::http_server port() const;

private:
    friend class server_builder;
    explicit server(std::unique_ptr<server_state> state);

    std::unique_ptr<server_state> state_;
};

/// Creates a server. The loop, the address and both event callbacks are required.
class server_builder
{
public:
    server_builder& loop(reactor::event_loop& it);
    /// \param text "ip:port"; port 0 selects a free port
    server_builder& address(std::string text);
    server_builder& events(ports::http_events it);
    server_builder& limits(server_limits it);
    /// Header fields that are added to every answer, including refusals.
    server_builder& extra_fields(ports::http_fields it);
    /// Starts listening. No callback is called before the event loop runs.
    /// \return an error when the address is invalid or can't be listened on
    core::result<server> build() const;

private:
    reactor::event_loop* loop_ = nullptr;
    std::string address_;
    ports::http_events events_;
    server_limits limits_;
    ports::http_fields extra_fields_;
};

} // namespace camphorhitch::http
