/// \file
/// One connection to another entry host, from connect() to the token's acceptance.
#pragma once

#include "message_stream.hpp"
#include "peer.capnp.h"
#include "ports/peer.hpp"
#include "sockets.hpp"

#include <capnp/rpc-twoparty.h>
#include <memory>

namespace camphorhitch::peer
{

/// Throws when a message of \p size would not be taken by the other side, which would then close
/// the connection and so end other calls too.
void require_size(capnp::MessageSize size, std::size_t largest);

class connection final
{
public:
    /// \param serial never used twice; tells a connection from a later one at the same place in
    ///     memory.
    connection(kj::Own<kj::AsyncIoStream> io,
        std::uint64_t serial,
        tally& counts,
        std::size_t largest_message);

    /// Shows the token; peer() may be used when the promise has come true.
    kj::Promise<void> authenticate(const std::string& token);
    schema::Peer::Client& peer();
    std::uint64_t serial() const;
    std::uint64_t received() const;
    kj::Promise<void> on_disconnect();

private:
    std::uint64_t serial_;
    kj::Own<kj::AsyncIoStream> io_;
    message_stream stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
    schema::Peer::Client peer_;
};

/// How an attempt to connect ended. Copies share the connection, all on the peer thread.
struct connect_end
{
    ports::peer_status status = ports::peer_status::unreachable;
    std::shared_ptr<connection> made; ///< when the status is ok
};

} // namespace camphorhitch::peer
