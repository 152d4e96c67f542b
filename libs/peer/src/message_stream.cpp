#include "message_stream.hpp"

#include <algorithm>
#include <capnp/serialize.h>

namespace camphorhitch::peer
{

namespace
{

// Messages are nested four levels deep, those of the RPC protocol a few more.
constexpr int max_nesting = 16;

/// Replaces MessageReader::sizeInWords(), which in Cap'n Proto 0.9.2 locks its mutex twice for a
/// message of more than one segment and therefore never returns.
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

message_stream::message_stream(kj::AsyncIoStream& io, atomic_counters& counts, std::size_t budget)
    : base_stream_(io), counts_(counts), budget_(budget), authenticated_(budget == 0)
{
}

void message_stream::mark_authenticated()
{
    authenticated_ = true;
}

bool message_stream::is_authenticated() const
{
    return authenticated_;
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
    // The first bytes of a message state its length, and the memory is allocated at once. Clients
    // without the token could announce the largest message on each connection and occupy that
    // memory. Until it has authenticated, a connection therefore has one small budget for all of
    // its data.
    if (!authenticated_)
    {
        options.traversalLimitInWords =
            std::min<std::uint64_t>(options.traversalLimitInWords, budget_ / sizeof(capnp::word));
    }
    return base_stream_.tryReadMessage(fds, options, scratch)
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
    return base_stream_.writeMessage(fds, segments);
}

kj::Promise<void> message_stream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    for (const auto& it : messages)
    {
        count_out(it);
    }
    return base_stream_.writeMessages(messages);
}

kj::Maybe<int> message_stream::getSendBufferSize()
{
    return base_stream_.getSendBufferSize();
}

kj::Promise<void> message_stream::end()
{
    return base_stream_.end();
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
    options.nestingLimit = max_nesting;
    return options;
}

} // namespace camphorhitch::peer
