/// \file
/// Messages of one connection, counted, and bounded until the other side has shown the token.
#pragma once

#include "tally.hpp"

#include <capnp/serialize-async.h>

namespace camphorhitch::peer
{

class message_stream final : public capnp::MessageStream
{
public:
    /// \param budget bytes that may come before trust(); 0: trusted from the start.
    message_stream(kj::AsyncIoStream& io, tally& counts, std::size_t budget);

    void trust();
    bool trusted() const;

    /// \return messages that came in on this connection.
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

    capnp::AsyncIoMessageStream below_;
    tally& counts_;
    std::size_t budget_;
    bool trusted_;
    std::uint64_t received_ = 0;
};

/// Options for a connection whose messages may be as large as \p bytes.
capnp::ReaderOptions reader_options(std::size_t bytes);

} // namespace camphorhitch::peer
