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

constexpr std::size_t most_spare_handles = 128;
/// Of one answer at its timeout, 16 KB each at least: 1 MB, the most that a service sends.
constexpr int most_readings = 64;

void start_curl_once()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

/// \param fd CURL_SOCKET_BAD: the transfer waits for none any more
void note_socket(CURL* easy, curl_socket_t fd, core::mono_time now)
{
    transfer* it = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &it);
    if (it != nullptr && it->socket != fd)
    {
        it->socket = fd;
        it->socket_since = now;
    }
}

/// \return curl's mask of what the transfer's socket is ready for now; 0: nothing.
int readiness(const transfer& it)
{
    if (it.socket == CURL_SOCKET_BAD)
    {
        return 0;
    }
    const short wanted = it.began ? POLLIN : POLLIN | POLLOUT;
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
        multi_, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(limits.most_connections_per_host));
    curl_multi_setopt(
        multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(limits.most_idle_connections));
}

client_state::~client_state()
{
    while (!transfers_.empty())
    {
        cancel(transfers_.begin()->first);
    }
    for (auto* it : spare_)
    {
        curl_easy_cleanup(it);
    }
    curl_multi_cleanup(multi_);
    time.cancel(timer_);
}

int client_state::on_socket(CURL* easy, curl_socket_t fd, int what, void* cls, void*)
{
    auto& self = *static_cast<client_state*>(cls);
    note_socket(easy, what == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : fd, self.time.now());
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
            self.act(fd, mask);
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
            self.act(CURL_SOCKET_TIMEOUT, 0);
        };
        self.timer_ = self.time.after(core::millis{wait}, fn);
    }
    return 0;
}

void client_state::act(curl_socket_t fd, int mask)
{
    int running = 0;
    curl_multi_socket_action(multi_, fd, mask, &running);
    give_chunks();
    finish();
}

void client_state::finish()
{
    int left = 0;
    while (const auto* message = curl_multi_info_read(multi_, &left))
    {
        if (message->msg == CURLMSG_DONE)
        {
            transfer* it = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &it);
            end(it->id, message->data.result);
        }
    }
}

void client_state::end(ports::call_id id, CURLcode code)
{
    give_chunk(*transfers_.at(id));
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
    {
        return; // cancelled by its own last chunk
    }
    // Out of the table first: the callback may start and cancel calls.
    const auto it = std::move(found->second);
    transfers_.erase(found);
    auto outcome = judge(*it, code, time.now());
    curl_multi_remove_handle(multi_, it->easy);
    put_handle(it->easy);
    cancel_timers(*it);
    it->on_end(std::move(outcome));
}

void client_state::give_chunks()
{
    // A copy: a callback may cancel this stream or start another.
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
            give_chunk(*it->second);
        }
    }
}

void client_state::give_chunk(transfer& it)
{
    if (!it.pending.empty())
    {
        const auto chunk = std::exchange(it.pending, {});
        const auto fn = it.on_chunk; // the transfer may be cancelled inside
        it.last_byte = time.now();
        fn(chunk);
    }
}

void client_state::watch_silence(transfer& it)
{
    const auto since = std::chrono::duration_cast<core::millis>(time.now() - it.last_byte);
    const auto wait = it.longest_silence - since + core::millis{1};
    it.silence_timer = time.after(wait, [this, id = it.id] { check_silence(id); });
}

void client_state::check_silence(ports::call_id id)
{
    auto* const it = read_what_came(id);
    if (it == nullptr)
    {
        return;
    }
    if (time.now() - it->last_byte < it->longest_silence)
    {
        watch_silence(*it);
        return;
    }
    it->silent = true;
    end(id, CURLE_OPERATION_TIMEDOUT);
}

/// Timeouts are kept here and not by curl, which gives a call up at its timeout without looking
/// whether the answer has come: a process that is late itself would take its own delay for the
/// other's silence. Each is judged only after the socket was read, which is enough, as what came in
/// time lies there.
/// One timer serves both, as nearly every call has ended before the first of them.
void client_state::watch_deadline(transfer& it)
{
    if (it.streams && it.began)
    {
        return;
    }
    auto wait = it.streams ? core::micros::max() : total_left(it);
    if (!it.began)
    {
        wait = std::min(wait, connect_left(it));
    }
    it.deadline_timer = time.after(
        std::chrono::ceil<core::millis>(wait), [this, id = it.id] { check_deadline(id); });
}

core::micros client_state::total_left(const transfer& it) const
{
    return it.call.total_timeout - (time.now() - it.started);
}

/// Without a socket it still waits for a connection of the pool, which is not connecting.
core::micros client_state::connect_left(const transfer& it) const
{
    const auto since = it.socket == CURL_SOCKET_BAD ? time.now() : it.socket_since;
    return it.call.connect_timeout - (time.now() - since);
}

void client_state::check_deadline(ports::call_id id)
{
    auto& it = *transfers_.at(id);
    it.deadline_timer = 0;
    const bool call_over = !it.streams && total_left(it).count() <= 0;
    const bool connect_over = !it.began && connect_left(it).count() <= 0;
    auto* const still = call_over || connect_over ? read_what_came(id) : &it;
    if (still == nullptr)
    {
        return;
    }
    if (call_over || (connect_over && !still->began))
    {
        end(id, CURLE_OPERATION_TIMEDOUT);
        return;
    }
    watch_deadline(*still);
}

transfer* client_state::read_what_came(ports::call_id id)
{
    // curl takes a part at a time; a long answer lies there in several.
    for (int i = 0; i < most_readings; ++i)
    {
        const auto found = transfers_.find(id);
        const int ready = found == transfers_.end() ? 0 : readiness(*found->second);
        if (ready == 0)
        {
            break;
        }
        act(found->second->socket, ready);
    }
    const auto found = transfers_.find(id);
    return found == transfers_.end() ? nullptr : found->second.get();
}

void client_state::cancel_timers(const transfer& it)
{
    for (const auto id : {it.silence_timer, it.deadline_timer})
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
    const auto fault = request_fault(it.call);
    it.easy = take_handle();
    if (!fault.empty())
    {
        refuse_later(it, fault);
        return it.id;
    }
    prepare(it, limits.longest_unacknowledged);
    const auto idle = std::chrono::ceil<std::chrono::seconds>(limits.longest_idle).count();
    curl_easy_setopt(it.easy, CURLOPT_MAXAGE_CONN, std::max(1L, static_cast<long>(idle)));
    if (it.streams)
    {
        streams_.push_back(it.id);
        watch_silence(it);
    }
    watch_deadline(it);
    const auto id = it.id;
    curl_multi_add_handle(multi_, it.easy);
    if (limits.urgency == reactor::urgency::urgent)
    {
        // Sent by the timer that curl asks for, it would wait until a loop that is behind has gone
        // through all that is ready. The end is told by that timer, as of any call.
        int running = 0;
        curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    }
    return id;
}

void client_state::refuse_later(transfer& it, const std::string& fault)
{
    const auto fn = [this, id = it.id, fault]
    {
        const auto made = std::move(transfers_.at(id));
        transfers_.erase(id);
        put_handle(made->easy);
        ports::http_outcome out;
        out.end = ports::call_end::not_sent;
        out.detail = fault;
        made->on_end(std::move(out));
    };
    it.silence_timer = time.after(core::millis{0}, fn);
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
    // Taking a handle out amid its transfer closes the connection. That is the safeguard: were it
    // kept, the late answer would be read as the answer to the next call.
    curl_multi_remove_handle(multi_, it->easy);
    put_handle(it->easy);
}

CURL* client_state::take_handle()
{
    if (spare_.empty())
    {
        return curl_easy_init();
    }
    auto* const out = spare_.back();
    spare_.pop_back();
    return out;
}

void client_state::put_handle(CURL* easy)
{
    if (spare_.size() < most_spare_handles)
    {
        curl_easy_reset(easy);
        spare_.push_back(easy);
    }
    else
    {
        curl_easy_cleanup(easy);
    }
}

} // namespace camphorhitch::http
