/// \file
/// Inside of the server: its connections and exchanges, and libmicrohttpd's callbacks.
#pragma once

#include "http/server.hpp"

#include <microhttpd.h>
#include <string>
#include <unordered_map>

namespace camphorhitch::http
{

struct server_state;
struct connection;

/// Names a connection; descriptors are reused, these never.
using connection_id = std::uint64_t;

/// Where an exchange stands.
enum class phase
{
    request_line, ///< libmicrohttpd is still reading the header
    body,         ///< the header is whole, the body is being read
    with_owner,   ///< handed over; no answer yet
    answered,     ///< the owner has answered; the answer is being written
    over          ///< the caller has gone, or was refused outside of libmicrohttpd
};

struct exchange
{
    server_state* server = nullptr;
    connection* on = nullptr;
    ports::exchange_id id = 0;
    phase at = phase::request_line;
    core::mono_time begun;
    ports::http_request request;
    ports::http_response answer;
    std::size_t discarded = 0; ///< bytes of a body that is read only to be thrown away
    bool refused = false;      ///< answer is a refusal of ours, due once the body has passed
    bool suspended = false;
};

struct connection
{
    connection_id id = 0;
    MHD_Connection* mhd = nullptr;
    int fd = -1;
    exchange* current = nullptr;
    core::mono_time idle_since;
    bool peer_closed = false;
    bool over_limit = false;
};

struct server_state
{
    server_state(reactor::event_loop& loop,
        ports::http_events events,
        server_limits limits,
        ports::http_fields extra_fields);
    ~server_state();
    server_state(const server_state&) = delete;
    server_state& operator=(const server_state&) = delete;

    /// \return an error's text, or an empty string.
    std::string start(const std::string& address);
    void respond(ports::exchange_id id, ports::http_response response);
    void stop_accepting();
    void accept_waiting();

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
    std::size_t with_owner = 0; ///< handed over and not yet written out

private:
    void drop_exchanges();
    void work();
    void arm();
    void sweep();
    void sweep_connection(connection& it);
    void watch_closures();
    void on_closed(connection& it);

    void read_header(exchange& it, const char* method);
    MHD_Result read_body(exchange& it, const char* upload, std::size_t* upload_size);
    MHD_Result hand_over(exchange& it);
    MHD_Result refuse_early(exchange& it);
    void resume(exchange& it);
    MHD_Result queue_answer(exchange& it);
    ports::http_response first_fault(const exchange& it) const;

    MHD_Daemon* daemon_ = nullptr;
    int daemon_fd_ = -1;
    int closures_ = -1; ///< epoll of all connections, for callers that close
    bool quiesced_ = false;
    bool ending_ = false; ///< the owner is gone
    ports::timer_id work_timer_ = 0;
    ports::timer_id sweep_timer_ = 0;
    ports::exchange_id last_exchange_ = 0;
    connection_id last_connection_ = 0;
    std::unordered_map<ports::exchange_id, std::unique_ptr<exchange>> exchanges_;
    std::unordered_map<connection_id, std::unique_ptr<connection>> connections_;
};

} // namespace camphorhitch::http
