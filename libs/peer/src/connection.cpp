#include "connection.hpp"

#include "wire_values.hpp"

namespace camphorhitch::peer
{

namespace
{

// Room for what RPC itself wraps around a message.
constexpr std::size_t envelope_bytes = 1024;

} // namespace

void require_size(capnp::MessageSize size, std::size_t largest)
{
    const std::size_t bytes = size.wordCount * sizeof(capnp::word);
    KJ_REQUIRE(bytes + envelope_bytes <= largest, "message too large", bytes);
}

connection::connection(
    kj::Own<kj::AsyncIoStream> io, std::uint64_t serial, tally& counts, std::size_t largest_message)
    : serial_(serial), io_(kj::mv(io)), stream_(*io_, counts, 0),
      network_(stream_, capnp::rpc::twoparty::Side::CLIENT, reader_options(largest_message)),
      rpc_(capnp::makeRpcClient(network_)), peer_(nullptr)
{
}

kj::Promise<void> connection::authenticate(const std::string& token)
{
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto request = rpc_.bootstrap(server).castAs<schema::Gate>().authenticateRequest();
    request.setToken(to_data(token));
    return request.send().then([this](auto&& reply) { peer_ = reply.getPeer(); });
}

schema::Peer::Client& connection::peer()
{
    return peer_;
}

std::uint64_t connection::serial() const
{
    return serial_;
}

std::uint64_t connection::received() const
{
    return stream_.received();
}

kj::Promise<void> connection::on_disconnect()
{
    return network_.onDisconnect();
}

} // namespace camphorhitch::peer
