#include "client_state.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <mutex>
#include <poll.h>
#include <utility>

namespace camphorhitch::http
{

namespace
{

constexpr std::size_t max_idle_handles = 128;
/// Maximum number of reads for one answer at its timeout. Each read takes at least 16 KB, which
/// gives 1 MB, the largest answer of any service.
constexpr int max_reads = 64;

void start_curl_once()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/// Records the socket that curl waits for.
/// \param fd CURL_SOCKET_BAD: the transfer no longer waits for a socket
void record_socket(CURL* easy, curl_socket_t fd, core::mono_time now)
{
    transfer* it = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &it);
    if (it != nullptr && it->socket != fd)
    {
        it->socket = fd;
        it->waiting_on_socket_since = now;
    }
}

/// \return curl's mask of the operations that the transfer's socket is ready for; 0: none.
int readiness(const transfer& it)
{
    if (it.socket == CURL_SOCKET_BAD)
    {
        return 0;
    }
    const short wanted = it.request_started ? POLLIN : POLLIN | POLLOUT;
    pollfd fd{it.socket, wanted, 0};
    if (::poll(&fd, 1, 0) <= 0)
    {
        return 0;
    }
    int mask = (fd.revents & POLLIN) != 0 ? CURL_CSELECT_IN : 0;
    mask |= (fd.revents & POLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    mask |= (fd.revents & (POLLERR | POLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
    return mask;
}

} // namespace

client_state::client_state(reactor::event_loop& on, client_limits bounds)
    : loop(on), time(on.scheduler()), limits(bounds)
{
    start_curl_once();
    multi_ = curl_multi_init();
    core::require(multi_ != nullptr, "curl can be set up");
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &client_state::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &client_state::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    curl_multi_setopt(
        multi_, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(limits.max_connections_per_host));
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(limits.max_idle_connections));
}

client_state::~client_state()
{
    while (!transfers_.empty())
    {
        cancel(transfers_.begin()->first);
    }
    for (auto* it : idle_handles_)
    {
        curl_easy_cleanup(it);
    }
    curl_multi_cleanup(multi_);
    time.cancel(timer_);
}

int client_state::on_socket(CURL* easy, curl_socket_t fd, int what, void* cls, void*)
{
    auto& self = *static_cast<client_state*>(cls);
    record_socket(easy, what == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : fd, self.time.now());
    const bool read = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
    const bool write = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
    self.loop.watch_fd(
        fd,
        read,
        write,
        [&self, fd](reactor::fd_events it)
        {
            int mask = it.readable ? CURL_CSELECT_IN : 0;
            mask |= it.writable ? CURL_CSELECT_OUT : 0;
            mask |= it.failed ? CURL_CSELECT_ERR : 0;
            self.run_socket_action(fd, mask);
        },
        self.limits.urgency);
    return 0;
}

int client_state::on_timer(CURLM*, long wait, void* cls)
{
    auto& self = *static_cast<client_state*>(cls);
    self.time.cancel(self.timer_);
    self.timer_ = 0;
    if (wait >= 0)
    {
        const auto fn = [&self]
        {
            self.timer_ = 0;
            self.run_socket_action(CURL_SOCKET_TIMEOUT, 0);
        };
        self.timer_ = self.time.after(core::millis{wait}, fn);
    }
    return 0;
}

void client_state::run_socket_action(curl_socket_t fd, int mask)
{
    int running = 0;
    curl_multi_socket_action(multi_, fd, mask, &running);
    deliver_chunks();
    handle_finished_transfers();
}

void client_state::handle_finished_transfers()
{
    int left = 0;
    while (const auto* message = curl_multi_info_read(multi_, &left))
    {
        if (message->msg == CURLMSG_DONE)
        {
            transfer* it = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &it);
            end_transfer(it->id, message->data.result);
        }
    }
}

void client_state::end_transfer(ports::call_id id, CURLcode code)
{
    deliver_chunk(*transfers_.at(id));
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
    {
        return; // cancelled by the callback for its last chunk
    }
    // The transfer is removed first because the callback may start and cancel calls.
    const auto it = std::move(found->second);
    transfers_.erase(found);
    auto outcome = make_outcome(*it, code, time.now());
    curl_multi_remove_handle(multi_, it->easy);
    release_handle(it->easy);
    cancel_timers(*it);
    it->on_end(std::move(outcome));
}

void client_state::deliver_chunks()
{
    // A copy, since a callback may cancel the stream or start another.
    const auto ids = streams_;
    for (const auto id : ids)
    {
        const auto it = transfers_.find(id);
        if (it == transfers_.end())
        {
            std::erase(streams_, id);
        }
        else
        {
            deliver_chunk(*it->second);
        }
    }
}

void client_state::deliver_chunk(transfer& it)
{
    if (!it.undelivered.empty())
    {
        const auto chunk = std::exchange(it.undelivered, {});
        const auto fn = it.on_chunk; // a copy, since the callback may cancel the transfer
        it.last_byte = time.now();
        fn(chunk);
    }
}

void client_state::schedule_idle_check(transfer& it)
{
    const auto since = std::chrono::duration_cast<core::millis>(time.now() - it.last_byte);
    const auto wait = it.idle_timeout - since + core::millis{1};
    it.idle_timer = time.after(wait, [this, id = it.id] { check_idle(id); });
}

void client_state::check_idle(ports::call_id id)
{
    auto* const it = read_received_data(id);
    if (it == nullptr)
    {
        return;
    }
    if (time.now() - it->last_byte < it->idle_timeout)
    {
        schedule_idle_check(*it);
        return;
    }
    it->idle_timed_out = true;
    end_transfer(id, CURLE_OPERATION_TIMEDOUT);
}

/// Schedules the check of the connect timeout and the total timeout. curl's own timeouts are not
/// used: curl aborts a call at its timeout without checking whether the answer has arrived, so a
/// process that is itself delayed would mistake its own delay for a target that does not answer.
/// Here a timeout is evaluated only after the socket has been read. That is sufficient, since data
/// that arrived in time is in the socket's buffer.
/// One timer serves both timeouts, as nearly every call has ended before the first of them.
void client_state::schedule_deadline_check(transfer& it)
{
    if (it.is_stream && it.request_started)
    {
        return;
    }
    auto wait = it.is_stream ? core::micros::max() : total_time_left(it);
    if (!it.request_started)
    {
        wait = std::min(wait, connect_time_left(it));
    }
    it.deadline_timer = time.after(
        std::chrono::ceil<core::millis>(wait), [this, id = it.id] { check_deadline(id); });
}

core::micros client_state::total_time_left(const transfer& it) const
{
    return it.call.total_timeout - (time.now() - it.started);
}

/// A transfer without a socket still waits for a pooled connection. That time does not count
/// towards the connect timeout.
core::micros client_state::connect_time_left(const transfer& it) const
{
    const auto since = it.socket == CURL_SOCKET_BAD ? time.now() : it.waiting_on_socket_since;
    return it.call.connect_timeout - (time.now() - since);
}

void client_state::check_deadline(ports::call_id id)
{
    auto& it = *transfers_.at(id);
    it.deadline_timer = 0;
    const bool call_over = !it.is_stream && total_time_left(it).count() <= 0;
    const bool connect_over = !it.request_started && connect_time_left(it).count() <= 0;
    auto* const still = call_over || connect_over ? read_received_data(id) : &it;
    if (still == nullptr)
    {
        return;
    }
    if (call_over || (connect_over && !still->request_started))
    {
        end_transfer(id, CURLE_OPERATION_TIMEDOUT);
        return;
    }
    schedule_deadline_check(*still);
}

transfer* client_state::read_received_data(ports::call_id id)
{
    // curl reads a limited amount at a time, so a long answer needs several reads.
    for (int i = 0; i < max_reads; ++i)
    {
        const auto found = transfers_.find(id);
        const int ready = found == transfers_.end() ? 0 : readiness(*found->second);
        if (ready == 0)
        {
            break;
        }
        run_socket_action(found->second->socket, ready);
    }
    const auto found = transfers_.find(id);
    return found == transfers_.end() ? nullptr : found->second.get();
}

void client_state::cancel_timers(const transfer& it)
{
    for (const auto id : {it.idle_timer, it.deadline_timer})
    {
        time.cancel(id);
    }
}

ports::call_id client_state::start(std::unique_ptr<transfer> made)
{
    auto& it = *made;
    it.id = ++last_id_;
    it.time = &time;
    it.started = time.now();
    it.last_byte = it.started;
    transfers_.emplace(it.id, std::move(made));
    const auto fault = find_request_fault(it.call);
    it.easy = acquire_handle();
    if (!fault.empty())
    {
        fail_later(it, fault);
        return it.id;
    }
    configure_handle(it, limits.max_unacknowledged_time);
    const auto idle = std::chrono::ceil<std::chrono::seconds>(limits.max_idle_time).count();
    curl_easy_setopt(it.easy, CURLOPT_MAXAGE_CONN, std::max(1L, static_cast<long>(idle)));
    if (it.is_stream)
    {
        streams_.push_back(it.id);
        schedule_idle_check(it);
    }
    schedule_deadline_check(it);
    const auto id = it.id;
    curl_multi_add_handle(multi_, it.easy);
    if (limits.urgency == reactor::urgency::urgent)
    {
        // The request is sent now. If it were sent by the timer that curl requests, an overloaded
        // loop would first handle all descriptors that are ready. The end of the call is still
        // reported by that timer, as for every call.
        int running = 0;
        curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    return id;
}

void client_state::fail_later(transfer& it, const std::string& fault)
{
    const auto fn = [this, id = it.id, fault]
    {
        const auto made = std::move(transfers_.at(id));
        transfers_.erase(id);
        release_handle(made->easy);
        ports::http_outcome out;
        out.end = ports::call_end::not_sent;
        out.detail = fault;
        made->on_end(std::move(out));
    };
    it.idle_timer = time.after(core::millis{0}, fn);
}

void client_state::cancel(ports::call_id id)
{
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
    {
        return;
    }
    const auto it = std::move(found->second);
    transfers_.erase(found);
    cancel_timers(*it);
    // Removing a handle during its transfer closes the connection. This is essential: on a reused
    // connection, the late answer would be read as the answer to the next call.
    curl_multi_remove_handle(multi_, it->easy);
    release_handle(it->easy);
}

CURL* client_state::acquire_handle()
{
    if (idle_handles_.empty())
    {
        return curl_easy_init();
    }
    auto* const out = idle_handles_.back();
    idle_handles_.pop_back();
    return out;
}

void client_state::release_handle(CURL* easy)
{
    if (idle_handles_.size() < max_idle_handles)
    {
        curl_easy_reset(easy);
        idle_handles_.push_back(easy);
    }
    else
    {
        curl_easy_cleanup(easy);
    }
}

} // namespace camphorhitch::http
