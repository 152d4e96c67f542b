#include "calls.hpp"

#include <cerrno>

namespace camphorhitch::peer
{

calls::calls(kj::AsyncIoContext& io, const call_settings& settings, tally& counts)
    : io_(io), settings_(settings), counts_(counts), tasks_(*this)
{
}

bool calls::take(const std::string& address)
{
    auto& state = peers_[address];
    if (state.open_calls >= settings_.bounds.calls_per_peer)
    {
        add(counts_.not_taken);
        count(ports::peer_status::unreachable);
        return false;
    }
    ++state.open_calls;
    return true;
}

void calls::release(const std::string& address)
{
    --peers_[address].open_calls;
    forget_if_idle(address);
}

void calls::forget_if_idle(const std::string& address)
{
    const auto it = peers_.find(address);
    if (it != peers_.end() && it->second.open_calls == 0 && it->second.current == nullptr &&
        it->second.connecting == nullptr)
    {
        peers_.erase(it);
    }
}

kj::Promise<connect_end> calls::obtain(const std::string& address)
{
    auto& state = peers_[address];
    if (state.current)
    {
        return connect_end{ports::peer_status::ok, state.current};
    }
    if (state.connecting == nullptr)
    {
        auto& attempt = state.connecting.emplace(connect(address).fork());
        // This branch comes first, so that the state is right before any call goes on.
        tasks_.add(attempt.addBranch().then(
            [this, address](const connect_end& end) { keep(address, end); }));
    }
    return KJ_ASSERT_NONNULL(state.connecting).addBranch();
}

kj::Promise<connect_end> calls::connect(const std::string& address)
{
    const auto to = parse_address(address);
    if (!core::is_ok(to))
    {
        return connect_end{};
    }
    add(counts_.connects);
    auto made = kj::evalNow(
        [&]() {
            return connect_to(io_.unixEventPort, core::value(to));
        }).then([this](connect_outcome socket) { return greet(kj::mv(socket)); });
    return io_.lowLevelProvider->getTimer()
        .timeoutAfter(settings_.connect_timeout.count() * kj::MILLISECONDS, kj::mv(made))
        .catch_([](kj::Exception&&) { return connect_end{}; });
}

kj::Promise<connect_end> calls::greet(connect_outcome socket)
{
    if (socket.error == ECONNREFUSED)
    {
        // The only proof that no process listens there.
        return connect_end{ports::peer_status::refused, nullptr};
    }
    if (socket.error != 0)
    {
        return connect_end{};
    }
    constexpr auto as_made = kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK |
                             kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC;
    auto link =
        std::make_shared<connection>(io_.lowLevelProvider->wrapSocketFd(kj::mv(socket.fd), as_made),
            ++serials_,
            counts_,
            settings_.bounds.largest_message);
    auto shown = link->authenticate(settings_.token);
    return shown.then(
        [link = std::move(link)]() mutable {
            return connect_end{ports::peer_status::ok, std::move(link)};
        });
}

void calls::keep(const std::string& address, const connect_end& end)
{
    auto& state = peers_[address];
    state.connecting = nullptr;
    if (end.made)
    {
        state.current = end.made;
        auto ended = end.made->on_disconnect().catch_([](kj::Exception&&) {});
        tasks_.add(ended.then(
            [this, address, serial = end.made->serial()]() { retire(address, serial); }));
    }
    forget_if_idle(address);
}

void calls::retire(const std::string& address, std::uint64_t serial)
{
    const auto it = peers_.find(address);
    if (it != peers_.end() && it->second.current && it->second.current->serial() == serial)
    {
        it->second.current = nullptr;
    }
    forget_if_idle(address);
}

void calls::on_timeout(const std::string& address, open_call& call)
{
    add(counts_.timed_out);
    // A connection can go silent for good while new ones work: every call on it would time out.
    // One that gave no sign of life during a whole call is not used for new calls; calls still open
    // on it keep it until they end, in case it was only slow.
    if (call.used && call.used->received() == call.received_before)
    {
        retire(address, call.used->serial());
    }
}

void calls::count(ports::peer_status status)
{
    if (status != ports::peer_status::ok)
    {
        add(status == ports::peer_status::refused ? counts_.refused : counts_.unreachable);
    }
}

void calls::taskFailed(kj::Exception&&)
{
    // Every task ends its own failures; one that comes here has nobody left to tell.
}

} // namespace camphorhitch::peer
