/// \file
/// Inside of the client: curl's multi handle on the event loop, and the open calls.
#pragma once

#include "transfer.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace camphorhitch::http
{

struct client_state
{
    client_state(reactor::event_loop& on, client_limits bounds);
    ~client_state();
    client_state(const client_state&) = delete;
    client_state& operator=(const client_state&) = delete;

    ports::call_id start(std::unique_ptr<transfer> it);
    void cancel(ports::call_id id);

    static int on_socket(CURL* easy, curl_socket_t fd, int what, void* cls, void* socket_cls);
    static int on_timer(CURLM* multi, long wait, void* cls);

    reactor::event_loop& loop;
    ports::scheduler time;
    const client_limits limits;

private:
    void refuse_later(transfer& it, const std::string& fault);
    void act(curl_socket_t fd, int mask);
    void finish();
    void end(ports::call_id id, CURLcode code);
    void give_chunks();
    void give_chunk(transfer& it);
    void watch_silence(transfer& it);
    void check_silence(ports::call_id id);
    void watch_deadline(transfer& it);
    core::micros total_left(const transfer& it) const;
    core::micros connect_left(const transfer& it) const;
    void check_deadline(ports::call_id id);
    /// \return the transfer, or nullptr when what came has ended it.
    transfer* read_what_came(ports::call_id id);
    void cancel_timers(const transfer& it);
    CURL* take_handle();
    void put_handle(CURL* easy);

    CURLM* multi_;
    ports::timer_id timer_ = 0;
    ports::call_id last_id_ = 0;
    std::unordered_map<ports::call_id, std::unique_ptr<transfer>> transfers_;
    std::vector<ports::call_id> streams_;
    std::vector<CURL*> spare_;
};

} // namespace camphorhitch::http
