#include "connection.hpp"

#include "wire_values.hpp"

namespace camphorhitch::peer
{

namespace
{

// Upper bound of the data that the RPC protocol adds to a message.
constexpr std::size_t rpc_overhead_bytes = 1024;

} // namespace

void check_size(capnp::MessageSize size, std::size_t largest)
{
    const std::size_t bytes = size.wordCount * sizeof(capnp::word);
    KJ_REQUIRE(bytes + rpc_overhead_bytes <= largest, "message too large", bytes);
}

connection::connection(kj::Own<kj::AsyncIoStream> io,
    std::uint64_t serial,
    atomic_counters& counts,
    std::size_t max_message_bytes)
    : serial_(serial), io_(kj::mv(io)), stream_(*io_, counts, 0),
      network_(stream_, capnp::rpc::twoparty::Side::CLIENT, reader_options(max_message_bytes)),
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
