#include "calls.hpp"

#include <cerrno>

namespace camphorhitch::peer
{

calls::calls(kj::AsyncIoContext& io, const call_settings& settings, atomic_counters& counts)
    : io_(io), settings_(settings), counts_(counts), tasks_(*this)
{
}

bool calls::try_begin_call(const std::string& address)
{
    auto& state = peers_[address];
    if (state.open_calls >= settings_.bounds.max_calls_per_peer)
    {
        add(counts_.calls_over_limit);
        count_failure(ports::peer_status::unreachable);
        return false;
    }
    ++state.open_calls;
    return true;
}

void calls::end_call(const std::string& address)
{
    --peers_[address].open_calls;
    remove_if_idle(address);
}

void calls::remove_if_idle(const std::string& address)
{
    const auto it = peers_.find(address);
    if (it != peers_.end() && it->second.open_calls == 0 && it->second.current == nullptr &&
        it->second.connecting == nullptr)
    {
        peers_.erase(it);
    }
}

kj::Promise<connect_result> calls::get_connection(const std::string& address)
{
    auto& state = peers_[address];
    if (state.current)
    {
        return connect_result{ports::peer_status::ok, state.current};
    }
    if (state.connecting == nullptr)
    {
        auto& attempt = state.connecting.emplace(connect(address).fork());
        // This branch is added first, so that the state is updated before any call continues.
        tasks_.add(attempt.addBranch().then(
            [this, address](const connect_result& end) { store_connection(address, end); }));
    }
    return KJ_ASSERT_NONNULL(state.connecting).addBranch();
}

kj::Promise<connect_result> calls::connect(const std::string& address)
{
    const auto to = parse_address(address);
    if (!core::is_ok(to))
    {
        return connect_result{};
    }
    add(counts_.connection_attempts);
    auto attempt = kj::evalNow(
        [&]() {
            return connect_to(io_.unixEventPort, core::value(to));
        }).then([this](socket_result socket) { return authenticate_connection(kj::mv(socket)); });
    return io_.lowLevelProvider->getTimer()
        .timeoutAfter(settings_.connect_timeout.count() * kj::MILLISECONDS, kj::mv(attempt))
        .catch_([](kj::Exception&&) { return connect_result{}; });
}

kj::Promise<connect_result> calls::authenticate_connection(socket_result socket)
{
    if (socket.error == ECONNREFUSED)
    {
        // A refused connection is the only proof that no process listens at the address.
        return connect_result{ports::peer_status::refused, nullptr};
    }
    if (socket.error != 0)
    {
        return connect_result{};
    }
    constexpr auto fd_flags = kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK |
                              kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC;
    auto new_connection = std::make_shared<connection>(
        io_.lowLevelProvider->wrapSocketFd(kj::mv(socket.fd), fd_flags),
        ++last_serial_,
        counts_,
        settings_.bounds.max_message_bytes);
    auto authenticated = new_connection->authenticate(settings_.token);
    return authenticated.then(
        [new_connection = std::move(new_connection)]() mutable {
            return connect_result{ports::peer_status::ok, std::move(new_connection)};
        });
}

void calls::store_connection(const std::string& address, const connect_result& end)
{
    auto& state = peers_[address];
    state.connecting = nullptr;
    if (end.established)
    {
        state.current = end.established;
        auto ended = end.established->on_disconnect().catch_([](kj::Exception&&) {});
        tasks_.add(ended.then([this, address, serial = end.established->serial()]()
            { retire_connection(address, serial); }));
    }
    remove_if_idle(address);
}

void calls::retire_connection(const std::string& address, std::uint64_t serial)
{
    const auto it = peers_.find(address);
    if (it != peers_.end() && it->second.current && it->second.current->serial() == serial)
    {
        it->second.current = nullptr;
    }
    remove_if_idle(address);
}

void calls::on_timeout(const std::string& address, open_call& call)
{
    add(counts_.timed_out);
    // A connection can stop working for ever while new connections work, and every call on it would
    // time out. Therefore a connection that received nothing during a whole call is not used for
    // new calls. Calls in flight on it keep it until they end, in case the connection was only
    // slow.
    if (call.used && call.used->received() == call.received_before)
    {
        retire_connection(address, call.used->serial());
    }
}

void calls::count_failure(ports::peer_status status)
{
    if (status != ports::peer_status::ok)
    {
        add(status == ports::peer_status::refused ? counts_.refused : counts_.unreachable);
    }
}

void calls::taskFailed(kj::Exception&&)
{
    // Every task handles its own failures; a failure that arrives here has no receiver.
}

} // namespace camphorhitch::peer
