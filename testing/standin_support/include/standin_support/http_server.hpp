/// \file
/// A small HTTP server on an event loop. Each request is an exchange that is answered now or
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

/// The body of an answer that is written bit by bit.
class byte_stream
{
public:
    void write(const std::string& bytes);
    /// Ends the answer once all that was written is sent.
    void finish();
    /// Cuts the connection.
    void cut();
    bool is_open() const
    {
        return open_;
    }

    std::function<void()> on_end; ///< called once, when either side has ended it

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

/// One request and the ways to end it. Whoever holds it may end it once; later ends do nothing.
class exchange
{
public:
    ports::http_request request;
    std::function<void()> on_gone; ///< the caller closed its connection before the answer

    void respond(ports::http_response r);
    /// Announces all of \p r, sends half of its body and closes the connection.
    void truncate(ports::http_response r);
    /// Sends \p bytes as they are and closes the connection.
    void send_raw(const std::string& bytes);
    /// Closes the connection without an answer.
    void cut();
    /// Starts an answer of unknown length.
    std::shared_ptr<byte_stream> stream(int status, const std::string& content_type);

    bool is_open() const
    {
        return how_ == ending::open;
    }

    bool is_gone() const
    {
        return gone_;
    }

    /// Whether its connection was told to swallow all that comes.
    bool is_silent() const;

private:
    friend struct server_callbacks;
    friend class http_server;
    friend class listener;

    enum class ending
    {
        open,
        answer,
        truncated,
        cut,
        stream
    };

    void end(ending how);
    void wake();

    connection* wire_ = nullptr; ///< nullptr once the exchange has left the server
    ports::http_response response_;
    std::shared_ptr<byte_stream> stream_;
    ending how_ = ending::open;
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
    std::size_t most = 0;
    std::uint64_t total = 0;
};

/// One port of 127.0.0.1.
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

    /// Listens (again) on its port.
    void open();
    /// Refuses new connections; those that are open go on.
    void close();
    /// Closes all connections, those with a request in flight too.
    void cut_connections();
    /// From now on each open connection for which \p chosen says so swallows all that comes and
    /// sends nothing any more.
    /// \return how many.
    std::size_t silence(const std::function<bool()>& chosen);

private:
    friend struct server_callbacks;
    friend class http_server;

    void accept_all();

    http_server& server_;
    exchange_handler handler_;
    int holder_ = -1; ///< bound and never listening: keeps the port ours while closed
    int socket_ = -1;
    std::uint16_t port_ = 0;
    connection_counts counts_;
};

class http_server
{
public:
    /// \param largest_body bytes; a larger request gets 413.
    http_server(event_loop& loop, std::size_t largest_body);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// \param port 0 takes a free one.
    listener& listen(std::uint16_t port, exchange_handler handler);

private:
    friend struct server_callbacks;
    friend class listener;

    void adopt(int fd, listener& owner);
    void on_peer_closed(int fd);

    event_loop& loop_;
    std::size_t largest_body_;
    MHD_Daemon* daemon_ = nullptr;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::map<int, std::unique_ptr<connection>> connections_;
};

} // namespace camphorhitch::standin_support
