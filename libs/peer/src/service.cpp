#include "service.hpp"

#include "connection.hpp"
#include "peer_server.hpp"

#include <capnp/rpc-twoparty.h>

namespace camphorhitch::peer
{

namespace
{

// Delay after a failed accept(): when the process has no file descriptors left, accept() fails
// immediately each time.
constexpr kj::Duration accept_retry_delay = 100 * kj::MILLISECONDS;

// Limit of the total size of one connection's calls in progress, in messages of maximum size.
constexpr std::size_t messages_in_flight = 2;

} // namespace

struct service::session
{
    session(service& s, kj::Own<kj::AsyncIoStream> stream)
        : parent(s), io(kj::mv(stream)),
          messages(*io, s.counts_, s.settings_.bounds.max_bytes_before_token),
          network(messages,
              capnp::rpc::twoparty::Side::SERVER,
              reader_options(s.settings_.bounds.max_message_bytes)),
          rpc(capnp::makeRpcServer(network, kj::heap<gate_server>(s, messages)))
    {
        rpc.setFlowLimit(
            messages_in_flight * s.settings_.bounds.max_message_bytes / sizeof(capnp::word));
        ++parent.open_sessions_;
        ++parent.unauthenticated_sessions_;
    }

    ~session()
    {
        --parent.open_sessions_;
        parent.unauthenticated_sessions_ -= messages.is_authenticated() ? 0 : 1;
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    service& parent;
    kj::Own<kj::AsyncIoStream> io;
    message_stream messages;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

service::service(kj::AsyncIoContext& io, const service_settings& settings, atomic_counters& counts)
    : io_(io), settings_(settings), counts_(counts), tasks_(*this)
{
}

service::~service() = default;

void service::start(int listening)
{
    listener_ = io_.lowLevelProvider->wrapListenSocketFd(
        listening, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    tasks_.add(accept_connections(*listener_));
}

kj::Promise<void> service::accept_connections(kj::ConnectionReceiver& listener)
{
    return listener.accept()
        .then([this](kj::Own<kj::AsyncIoStream> io) { open_session(kj::mv(io)); })
        .catch_(
            [this](kj::Exception&&)
            {
                // The socket stays open: closing it would be taken by the other members as proof
                // that this process has ended.
                return io_.lowLevelProvider->getTimer().afterDelay(accept_retry_delay);
            })
        .then([this, &listener]() { return accept_connections(listener); });
}

void service::open_session(kj::Own<kj::AsyncIoStream> io)
{
    const auto& bounds = settings_.bounds;
    if (open_sessions_ >= bounds.max_connections ||
        unauthenticated_sessions_ >= bounds.max_unauthenticated_connections)
    {
        add(counts_.connections_rejected);
        return;
    }
    add(counts_.connections_accepted);
    auto one = kj::heap<session>(*this, kj::mv(io));
    auto& messages = one->messages;
    auto expiry = io_.lowLevelProvider->getTimer()
                      .afterDelay(bounds.token_timeout.count() * kj::MILLISECONDS)
                      .then(
                          [&messages]() -> kj::Promise<void>
                          {
                              return messages.is_authenticated() ? kj::Promise<void>(kj::NEVER_DONE)
                                                                 : kj::Promise<void>(kj::READY_NOW);
                          });
    auto ended = one->network.onDisconnect().exclusiveJoin(kj::mv(expiry));
    tasks_.add(ended.attach(kj::mv(one)));
}

bool service::is_correct_token(capnp::Data::Reader presented) const
{
    const auto& token = settings_.token;
    // Compares every byte, so that the duration reveals nothing about the token.
    unsigned difference = presented.size() == token.size() ? 0 : 1;
    for (std::size_t i = 0; i < presented.size(); ++i)
    {
        difference |= presented[i] ^ static_cast<unsigned char>(token[i % token.size()]);
    }
    return difference == 0;
}

void service::mark_authenticated(message_stream& messages)
{
    messages.mark_authenticated();
    --unauthenticated_sessions_;
}

atomic_counters& service::counts()
{
    return counts_;
}

std::size_t service::max_message_bytes() const
{
    return settings_.bounds.max_message_bytes;
}

void service::taskFailed(kj::Exception&&)
{
    // A connection broke; its session is closed together with its task.
}

} // namespace camphorhitch::peer
