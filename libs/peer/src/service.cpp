#include "service.hpp"

#include "connection.hpp"
#include "served_peer.hpp"

#include <capnp/rpc-twoparty.h>

namespace camphorhitch::peer
{

namespace
{

// Pause after a failed accept(): when file descriptors have run out it fails at once, for ever.
constexpr kj::Duration accept_pause = 100 * kj::MILLISECONDS;

// Calls of one connection that are being served hold at most this many largest messages.
constexpr std::size_t messages_in_flight = 2;

} // namespace

struct service::session
{
    session(service& s, kj::Own<kj::AsyncIoStream> stream)
        : owner(s), io(kj::mv(stream)), messages(*io, s.counts_, s.settings_.bounds.before_token),
          network(messages,
              capnp::rpc::twoparty::Side::SERVER,
              reader_options(s.settings_.bounds.largest_message)),
          rpc(capnp::makeRpcServer(network, kj::heap<served_gate>(s, messages)))
    {
        rpc.setFlowLimit(
            messages_in_flight * s.settings_.bounds.largest_message / sizeof(capnp::word));
        ++owner.open_;
        ++owner.untrusted_;
    }

    ~session()
    {
        --owner.open_;
        owner.untrusted_ -= messages.trusted() ? 0 : 1;
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    service& owner;
    kj::Own<kj::AsyncIoStream> io;
    message_stream messages;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

service::service(kj::AsyncIoContext& io, const service_settings& settings, tally& counts)
    : io_(io), settings_(settings), counts_(counts), tasks_(*this)
{
}

service::~service() = default;

void service::start(int listening)
{
    listener_ = io_.lowLevelProvider->wrapListenSocketFd(
        listening, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    tasks_.add(take_connections(*listener_));
}

kj::Promise<void> service::take_connections(kj::ConnectionReceiver& listener)
{
    return listener.accept()
        .then([this](kj::Own<kj::AsyncIoStream> io) { take(kj::mv(io)); })
        .catch_(
            [this](kj::Exception&&)
            {
                // The socket stays open: closing it would tell the others that we are gone.
                return io_.lowLevelProvider->getTimer().afterDelay(accept_pause);
            })
        .then([this, &listener]() { return take_connections(listener); });
}

void service::take(kj::Own<kj::AsyncIoStream> io)
{
    const auto& bounds = settings_.bounds;
    if (open_ >= bounds.connections || untrusted_ >= bounds.connections_before_token)
    {
        add(counts_.turned_away);
        return;
    }
    add(counts_.accepted);
    auto one = kj::heap<session>(*this, kj::mv(io));
    auto& messages = one->messages;
    auto expiry = io_.lowLevelProvider->getTimer()
                      .afterDelay(bounds.token_within.count() * kj::MILLISECONDS)
                      .then(
                          [&messages]() -> kj::Promise<void>
                          {
                              return messages.trusted() ? kj::Promise<void>(kj::NEVER_DONE)
                                                        : kj::Promise<void>(kj::READY_NOW);
                          });
    auto ended = one->network.onDisconnect().exclusiveJoin(kj::mv(expiry));
    tasks_.add(ended.attach(kj::mv(one)));
}

bool service::right_token(capnp::Data::Reader shown) const
{
    const auto& token = settings_.token;
    // Looks at every byte, so that the time taken tells nothing about the token.
    unsigned difference = shown.size() == token.size() ? 0 : 1;
    for (std::size_t i = 0; i < shown.size(); ++i)
    {
        difference |= shown[i] ^ static_cast<unsigned char>(token[i % token.size()]);
    }
    return difference == 0;
}

void service::trust(message_stream& messages)
{
    messages.trust();
    --untrusted_;
}

tally& service::counts()
{
    return counts_;
}

std::size_t service::largest_message() const
{
    return settings_.bounds.largest_message;
}

void service::taskFailed(kj::Exception&&)
{
    // A connection broke; its session is closed with its task.
}

} // namespace camphorhitch::peer
