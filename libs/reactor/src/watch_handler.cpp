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

constexpr unsigned generation_shift = 32;

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

watch_handler::watch_handler(ACE_Reactor& reactor, int most)
    : ace_(reactor), epoll_(::epoll_create1(EPOLL_CLOEXEC)), most_(most)
{
    core::require(most_ <= most_at_once, "a turn's events fit into its buffer");
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
    // Also when nothing seems to change: the number may have been closed and come back.
    put(added ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, it->second);
}

void watch_handler::put(int operation, int fd, const watched& it) const
{
    epoll_event wanted{};
    wanted.events = it.wanted;
    wanted.data.u64 = (std::uint64_t{it.generation} << generation_shift) | std::uint32_t(fd);
    int rc = ::epoll_ctl(epoll_, operation, fd, &wanted);
    if (rc != 0 && errno == ENOENT)
    {
        // The number was closed and came back since it was watched.
        rc = ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &wanted);
    }
    core::require(rc == 0, "a descriptor can be watched");
}

void watch_handler::forget(int fd)
{
    if (watched_.erase(fd) > 0)
    {
        ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr); // fails when it is closed already
    }
}

int watch_handler::handle_input(ACE_HANDLE)
{
    std::array<epoll_event, most_at_once> buf{};
    const int n = ::epoll_wait(epoll_, buf.data(), most_, 0);
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
    if (it == watched_.end() || it->second.generation != tag >> generation_shift)
    {
        return; // forgotten by a callback before it in the same batch
    }
    const auto what = to_events(events);
    const auto callback = it->second.callback; // may replace itself
    if (what.failed)
    {
        forget(fd); // error or hang-up, which nobody can clear: it would come again for ever
    }
    (*callback)(what);
}

} // namespace camphorhitch::reactor
