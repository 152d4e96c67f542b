#include "core/invariant.hpp"
#include "loop_state.hpp"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <unistd.h>

namespace camphorhitch::reactor
{

namespace
{

constexpr unsigned generation_bits = 32;

std::uint32_t to_wanted(bool read, bool write)
{
    const std::uint32_t in = read ? EPOLLIN : 0U;
    const std::uint32_t out = write ? EPOLLOUT : 0U;
    return in | out;
}

fd_events to_events(std::uint32_t bits)
{
    fd_events out;
    out.readable = (bits & EPOLLIN) != 0;
    out.writable = (bits & EPOLLOUT) != 0;
    out.failed = !out.readable && !out.writable;
    return out;
}

} // namespace

watch_handler::watch_handler(ACE_Reactor& reactor, int max_events)
    : ace_(reactor), epoll_(::epoll_create1(EPOLL_CLOEXEC)), max_events_(max_events)
{
    core::require(
        max_events_ <= max_events_per_call, "the events of an iteration fit into the buffer");
    core::require(epoll_ >= 0, "an epoll set can be opened");
    const int rc = ace_.register_handler(epoll_, this, ACE_Event_Handler::READ_MASK);
    core::require(rc == 0, "ACE can watch the epoll set");
}

watch_handler::~watch_handler()
{
    ace_.remove_handler(epoll_, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    ::close(epoll_);
}

void watch_handler::watch(int fd, bool read, bool write, fd_callback callback)
{
    const auto wanted = to_wanted(read, write);
    auto [it, added] = watched_.try_emplace(fd);
    it->second.callback = std::make_shared<const fd_callback>(std::move(callback));
    it->second.wanted = wanted;
    if (added)
    {
        it->second.generation = ++last_generation_;
    }
    // Also when nothing seems to change, since the descriptor may have been closed and its number
    // reused.
    update_epoll(added ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, it->second);
}

void watch_handler::update_epoll(int operation, int fd, const watched& it) const
{
    epoll_event wanted{};
    wanted.events = it.wanted;
    wanted.data.u64 = (std::uint64_t{it.generation} << generation_bits) | std::uint32_t(fd);
    int rc = ::epoll_ctl(epoll_, operation, fd, &wanted);
    if (rc != 0 && errno == ENOENT)
    {
        // The descriptor was closed and its number reused since it was watched.
        rc = ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &wanted);
    }
    core::require(rc == 0, "a descriptor can be watched");
}

void watch_handler::unwatch(int fd)
{
    if (watched_.erase(fd) > 0)
    {
        ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr); // fails when fd is already closed
    }
}

int watch_handler::handle_input(ACE_HANDLE)
{
    std::array<epoll_event, max_events_per_call> buf{};
    const int n = ::epoll_wait(epoll_, buf.data(), max_events_, 0);
    for (int i = 0; i < n; ++i)
    {
        const auto& it = buf[static_cast<std::size_t>(i)];
        dispatch(it.data.u64, it.events);
    }
    return 0;
}

void watch_handler::dispatch(std::uint64_t tag, std::uint32_t events)
{
    const int fd = static_cast<int>(tag & UINT32_MAX);
    const auto it = watched_.find(fd);
    if (it == watched_.end() || it->second.generation != tag >> generation_bits)
    {
        return; // unwatched by an earlier callback of the same batch
    }
    const auto what = to_events(events);
    const auto callback = it->second.callback; // a copy, since the callback may replace itself
    if (what.failed)
    {
        unwatch(fd); // an error or hang-up persists and would be reported in every iteration
    }
    (*callback)(what);
}

} // namespace camphorhitch::reactor
