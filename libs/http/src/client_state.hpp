/// \file
/// Implementation of the client: curl's multi handle on the event loop, and the open calls.
#pragma once

#include "transfer.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace camphorhitch::http
{

/// State of a client.
struct client_state
{
    client_state(reactor::event_loop& on, client_limits bounds);
    ~client_state();
    client_state(const client_state&) = delete;
    client_state& operator=(const client_state&) = delete;

    /// Starts a call. The callbacks are never called inside this function.
    ports::call_id start(std::unique_ptr<transfer> it);
    /// Aborts a call without a callback, and closes its connection.
    void cancel(ports::call_id id);

    // ---- called by curl ----
    static int on_socket(CURL* easy, curl_socket_t fd, int what, void* cls, void* socket_cls);
    static int on_timer(CURLM* multi, long wait, void* cls);

    reactor::event_loop& loop;
    ports::scheduler time;
    const client_limits limits;

private:
    /// Ends a call as not sent, in a later iteration of the loop.
    void fail_later(transfer& it, const std::string& fault);
    /// Lets curl process the events in \p mask of a socket.
    void run_socket_action(curl_socket_t fd, int mask);
    void handle_finished_transfers();
    /// Ends a call with curl's result and calls its callback.
    void end_transfer(ports::call_id id, CURLcode code);
    /// Passes received data of all streams to their callbacks.
    void deliver_chunks();
    void deliver_chunk(transfer& it);
    void schedule_idle_check(transfer& it);
    void check_idle(ports::call_id id);
    void schedule_deadline_check(transfer& it);
    core::micros total_time_left(const transfer& it) const;
    core::micros connect_time_left(const transfer& it) const;
    void check_deadline(ports::call_id id);
    /// Processes the data that has already been received for a transfer.
    /// \return the transfer, or nullptr when the data has completed it
    transfer* read_received_data(ports::call_id id);
    void cancel_timers(const transfer& it);
    CURL* acquire_handle();
    void release_handle(CURL* easy);

    CURLM* multi_;
    ports::timer_id timer_ = 0;
    ports::call_id last_id_ = 0;
    std::unordered_map<ports::call_id, std::unique_ptr<transfer>> transfers_;
    std::vector<ports::call_id> streams_;
    std::vector<CURL*> idle_handles_;
};

} // namespace camphorhitch::http
