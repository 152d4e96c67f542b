/// \file
/// A small HTTP server on an event loop. Each request is an exchange that is answered at once or
/// later, or ended in one of the ways in which real services fail.
#pragma once

#include "core/time.hpp"
#include "ports/http.hpp"
#include "standin_support/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct MHD_Connection;
struct MHD_Daemon;

namespace camphorhitch::standin_support
{

struct connection;
class http_server;
class listener;

/// The body of an answer that is written in parts.
class byte_stream
{
public:
    /// Appends bytes to the body.
    void write(const std::string& bytes);
    /// Ends the answer after all written bytes have been sent.
    void finish();
    /// Closes the connection at once.
    void cut();
    bool is_open() const
    {
        return open_;
    }

    std::function<void()> on_end; ///< called once, when either side has ended the stream

private:
    friend struct server_callbacks;
    friend class exchange;

    void wake();
    void end();

    MHD_Connection* wire_ = nullptr;
    std::string pending_;
    bool waiting_ = false; ///< the connection is suspended until there are bytes
    bool open_ = true;
    bool finishing_ = false;
};

/// One request and the ways to end it. The first end takes effect; later ones are ignored.
class exchange
{
public:
    ports::http_request request;
    std::function<void()> on_gone; ///< called if the caller closes its connection before the answer

    /// Answers the request.
    void respond(ports::http_response r);
    /// Sends the head of \p r and half of its body, and closes the connection.
    void truncate(ports::http_response r);
    /// Sends \p bytes without an HTTP head and closes the connection.
    void send_raw(const std::string& bytes);
    /// Closes the connection without an answer.
    void cut();
    /// Starts an answer of unknown length.
    std::shared_ptr<byte_stream> stream(int status, const std::string& content_type);

    /// \return whether the exchange has not been ended.
    bool is_open() const
    {
        return how_ == end_kind::open;
    }

    /// \return whether the caller closed its connection before the answer.
    bool is_gone() const
    {
        return gone_;
    }

    /// \return whether the connection discards all input and sends nothing (listener::silence()).
    bool is_silent() const;

private:
    friend struct server_callbacks;
    friend class http_server;
    friend class listener;

    enum class end_kind
    {
        open,
        answer,
        truncated,
        cut,
        stream
    };

    void end(end_kind how);
    void wake();

    connection* wire_ = nullptr; ///< nullptr after the server has completed the exchange
    ports::http_response response_;
    std::shared_ptr<byte_stream> stream_;
    end_kind how_ = end_kind::open;
    bool dispatched_ = false;
    bool suspended_ = false;
    bool too_large_ = false;
    bool gone_ = false;
};

using exchange_ptr = std::shared_ptr<exchange>;
using exchange_handler = std::function<void(const exchange_ptr&)>;

/// Counts of one listener's connections.
struct connection_counts
{
    std::size_t open = 0;
    std::size_t max_open = 0; ///< maximum of open
    std::uint64_t total = 0;  ///< connections accepted since the start
};

/// A listening port on 127.0.0.1.
class listener
{
public:
    listener(http_server& server, std::uint16_t port, exchange_handler handler);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    const connection_counts& counts() const
    {
        return counts_;
    }

    /// Starts listening on the port, also again after close().
    void open();
    /// Refuses new connections; open connections stay.
    void close();
    /// Closes all connections, including those with a request in flight.
    void cut_connections();
    /// Makes open connections discard all input and send nothing from now on.
    /// \param chosen called for each open connection; returns whether the connection is affected
    /// \return the number of affected connections.
    std::size_t silence(const std::function<bool()>& chosen);

private:
    friend struct server_callbacks;
    friend class http_server;

    void accept_all();

    http_server& server_;
    exchange_handler handler_;
    /// Bound socket that never listens; it reserves the port while closed.
    int reserving_socket_ = -1;
    int socket_ = -1;
    std::uint16_t port_ = 0;
    connection_counts counts_;
};

/// The server of all listeners on one loop.
class http_server
{
public:
    /// \param max_body bytes; a larger request is answered with 413
    http_server(event_loop& loop, std::size_t max_body_bytes);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Adds a listener.
    /// \param port 0: a free port is chosen
    listener& listen(std::uint16_t port, exchange_handler handler);

private:
    friend struct server_callbacks;
    friend class listener;

    void adopt(int fd, listener& owner);
    void on_peer_closed(int fd);

    event_loop& loop_;
    std::size_t max_body_bytes_;
    MHD_Daemon* daemon_ = nullptr;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::map<int, std::unique_ptr<connection>> connections_;
};

} // namespace camphorhitch::standin_support
