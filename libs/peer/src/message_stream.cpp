#include "message_stream.hpp"

#include <algorithm>
#include <capnp/serialize.h>

namespace camphorhitch::peer
{

namespace
{

constexpr int deepest_nesting = 16; // our messages nest four deep, those of RPC a few more

/// MessageReader::sizeInWords() of Cap'n Proto 0.9.2 locks its mutex twice, and so never returns,
/// on a message of more than one segment.
std::size_t size_in_words(capnp::MessageReader& message)
{
    std::size_t words = 0;
    auto it = message.getSegment(0);
    for (unsigned id = 1; it.begin() != nullptr; ++id)
    {
        words += it.size();
        it = message.getSegment(id);
    }
    return words;
}

} // namespace

message_stream::message_stream(kj::AsyncIoStream& io, tally& counts, std::size_t budget)
    : below_(io), counts_(counts), budget_(budget), trusted_(budget == 0)
{
}

void message_stream::trust()
{
    trusted_ = true;
}

bool message_stream::trusted() const
{
    return trusted_;
}

std::uint64_t message_stream::received() const
{
    return received_;
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> message_stream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> fds,
    capnp::ReaderOptions options,
    kj::ArrayPtr<capnp::word> scratch)
{
    // A message's length is claimed in its first bytes and its memory is taken at once. Strangers
    // could claim the largest message on each connection and hold that memory; so until the token
    // was shown, a connection has one small budget for all that it sends.
    if (!trusted_)
    {
        options.traversalLimitInWords =
            std::min<std::uint64_t>(options.traversalLimitInWords, budget_ / sizeof(capnp::word));
    }
    return below_.tryReadMessage(fds, options, scratch)
        .then(
            [this](kj::Maybe<capnp::MessageReaderAndFds> message)
            {
                KJ_IF_MAYBE (it, message)
                {
                    count_in(*it->reader);
                }
                return message;
            });
}

kj::Promise<void> message_stream::writeMessage(
    kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    count_out(segments);
    return below_.writeMessage(fds, segments);
}

kj::Promise<void> message_stream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    for (const auto& it : messages)
    {
        count_out(it);
    }
    return below_.writeMessages(messages);
}

kj::Maybe<int> message_stream::getSendBufferSize()
{
    return below_.getSendBufferSize();
}

kj::Promise<void> message_stream::end()
{
    return below_.end();
}

void message_stream::count_in(capnp::MessageReader& message)
{
    const std::size_t bytes = size_in_words(message) * sizeof(capnp::word);
    budget_ -= std::min(budget_, bytes);
    ++received_;
    add(counts_.messages_in);
    add(counts_.bytes_in, bytes);
}

void message_stream::count_out(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    add(counts_.messages_out);
    add(counts_.bytes_out, capnp::computeSerializedSizeInWords(segments) * sizeof(capnp::word));
}

capnp::ReaderOptions reader_options(std::size_t bytes)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = bytes / sizeof(capnp::word);
    options.nestingLimit = deepest_nesting;
    return options;
}

} // namespace camphorhitch::peer
