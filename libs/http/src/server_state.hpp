/// \file
/// Implementation of the server: its connections and exchanges, and libmicrohttpd's callbacks. The
/// handler is the code behind ports::http_events.
#pragma once

#include "http/server.hpp"

#include <microhttpd.h>
#include <string>
#include <unordered_map>

namespace camphorhitch::http
{

struct server_state;
struct connection;

/// Identifies a connection. Never reused, unlike file descriptors.
using connection_id = std::uint64_t;

/// State of an exchange.
enum class phase
{
    request_line, ///< libmicrohttpd is reading the header
    body,         ///< the header is complete, the body is being read
    with_handler, ///< passed to the handler, which has not answered yet
    answered,     ///< the handler has answered; the answer is being written
    over          ///< the caller has disconnected, or was refused outside of libmicrohttpd
};

/// One request and its answer.
struct exchange
{
    server_state* server = nullptr;
    connection* conn = nullptr;
    ports::exchange_id id = 0;
    phase current_phase = phase::request_line;
    core::mono_time started;
    ports::http_request request;
    ports::http_response answer;
    std::size_t discarded = 0; ///< bytes that were read of the body of a refused request
    bool refused = false;      ///< answer holds the server's refusal, which is sent after the body
    bool suspended = false;    ///< libmicrohttpd's processing of the connection is suspended
};

/// A connection of a caller.
struct connection
{
    connection_id id = 0;
    MHD_Connection* mhd = nullptr;
    int fd = -1;
    exchange* current = nullptr;
    core::mono_time idle_since;
    bool peer_closed = false;
    bool over_limit = false; ///< beyond max_connections; its requests are refused
};

/// State of a server.
struct server_state
{
    server_state(reactor::event_loop& loop,
        ports::http_events events,
        server_limits limits,
        ports::http_fields extra_fields);
    ~server_state();
    server_state(const server_state&) = delete;
    server_state& operator=(const server_state&) = delete;

    /// Starts listening.
    /// \return the text of an error; empty: none
    std::string start(const std::string& address);
    /// Passes the handler's answer on. Ignored when the exchange is over.
    void respond(ports::exchange_id id, ports::http_response response);
    /// Closes the listening socket. Open exchanges continue.
    void stop_accepting();
    /// Accepts the connections that wait in the listen queue.
    void accept_pending_connections();

    // ---- called by libmicrohttpd ----
    exchange* begin_exchange(MHD_Connection* mhd, const char* uri);
    MHD_Result on_progress(
        exchange& it, const char* method, const char* upload, std::size_t* upload_size);
    void end_exchange(exchange& it);
    connection* open_connection(MHD_Connection* mhd);
    void close_connection(connection& it);

    reactor::event_loop& loop;
    ports::scheduler time;
    ports::http_events events;
    const server_limits limits;
    const ports::http_fields extra_fields;
    std::uint16_t port = 0;
    /// Exchanges that were passed to the handler and whose answers are not completely written.
    std::size_t exchanges_in_progress = 0;

private:
    void end_open_exchanges();
    /// Lets libmicrohttpd process all pending events.
    void run_daemon();
    /// Sets the timer for libmicrohttpd's next timeout.
    void schedule_daemon_run();
    /// Applies idle_timeout and request_timeout to all connections, periodically.
    void check_timeouts();
    void check_connection_timeout(connection& it);
    void read_closure_events();
    void on_peer_closed(connection& it);

    void read_header(exchange& it, const char* method);
    MHD_Result read_body(exchange& it, const char* upload, std::size_t* upload_size);
    /// Passes a complete request to the handler.
    MHD_Result hand_over(exchange& it);
    /// Refuses a request after its header, at once or after its body.
    MHD_Result refuse_early(exchange& it);
    /// Resumes a suspended connection.
    void resume(exchange& it);
    /// Passes the answer of an exchange to libmicrohttpd.
    MHD_Result queue_answer(exchange& it);
    /// \return the refusal of a request after its header; status 0: the request is accepted.
    ports::http_response find_refusal(const exchange& it) const;

    MHD_Daemon* daemon_ = nullptr;
    int daemon_fd_ = -1;
    int closure_epoll_ = -1; ///< epoll descriptor that reports connections closed by the caller
    bool stopped_accepting_ = false;
    bool shutting_down_ = false; ///< the handler is no longer available
    ports::timer_id daemon_timer_ = 0;
    ports::timer_id timeout_check_timer_ = 0;
    ports::exchange_id last_exchange_ = 0;
    connection_id last_connection_ = 0;
    std::unordered_map<ports::exchange_id, std::unique_ptr<exchange>> exchanges_;
    std::unordered_map<connection_id, std::unique_ptr<connection>> connections_;
};

} // namespace camphorhitch::http
