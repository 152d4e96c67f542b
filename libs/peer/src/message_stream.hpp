/// \file
/// Counts the messages of one connection, and limits their size until the other side has
/// authenticated.
#pragma once

#include "atomic_counters.hpp"

#include <capnp/serialize-async.h>

namespace camphorhitch::peer
{

class message_stream final : public capnp::MessageStream
{
public:
    /// \param budget bytes accepted before mark_authenticated() is called; 0: authenticated from
    ///   the start.
    message_stream(kj::AsyncIoStream& io, atomic_counters& counts, std::size_t budget);

    void mark_authenticated();
    bool is_authenticated() const;

    /// \return number of messages received on this connection.
    std::uint64_t received() const;

    using capnp::MessageStream::tryReadMessage;
    using capnp::MessageStream::writeMessage;
    using capnp::MessageStream::writeMessages;

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
        kj::ArrayPtr<kj::AutoCloseFd> fds,
        capnp::ReaderOptions options,
        kj::ArrayPtr<capnp::word> scratch) override;
    kj::Promise<void> writeMessage(kj::ArrayPtr<const int> fds,
        kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(
        kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override;
    kj::Promise<void> end() override;

private:
    void count_in(capnp::MessageReader& message);
    void count_out(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments);

    capnp::AsyncIoMessageStream base_stream_;
    atomic_counters& counts_;
    std::size_t budget_;
    bool authenticated_;
    std::uint64_t received_ = 0;
};

/// \return options for a connection with messages of up to \p bytes.
capnp::ReaderOptions reader_options(std::size_t bytes);

} // namespace camphorhitch::peer
