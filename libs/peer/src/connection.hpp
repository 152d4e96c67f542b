/// \file
/// A connection to another entry host, from connect() to the acceptance of the token.
#pragma once

#include "message_stream.hpp"
#include "peer.capnp.h"
#include "ports/peer.hpp"
#include "sockets.hpp"

#include <capnp/rpc-twoparty.h>
#include <memory>

namespace camphorhitch::peer
{

/// Throws when a message of \p size is larger than the other side accepts. The other side would
/// close the connection and thereby end other calls as well.
void check_size(capnp::MessageSize size, std::size_t largest);

class connection final
{
public:
    /// \param serial unique number; distinguishes a connection from a later one at the same memory
    ///   address.
    connection(kj::Own<kj::AsyncIoStream> io,
        std::uint64_t serial,
        atomic_counters& counts,
        std::size_t max_message_bytes);

    /// Sends the token. peer() may be used once the promise is fulfilled.
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

/// Result of a connection attempt. Copies share the connection; all of them stay on the peer
/// thread.
struct connect_result
{
    ports::peer_status status = ports::peer_status::unreachable;
    std::shared_ptr<connection> established; ///< set when the status is ok
};

} // namespace camphorhitch::peer
