/// \file
/// Frames over one TCP connection on the event loop: a four-byte length, least byte first, and as
/// many bytes. A frame of no bytes only says that the sender lives.
#pragma once

#include "reactor/event_loop.hpp"

#include <ace/SOCK_Stream.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace camphorhitch::relay
{

/// A frame never holds more: senders split their batches well below. Bounds what a broken or
/// hostile length can make us allocate.
constexpr std::size_t largest_frame = 1U << 20; // bytes
/// Batches are split at this size.
constexpr std::size_t batch_bytes = 1U << 18; // bytes
/// A side that reads so much less than it is sent is as good as lost. A plan of 1,000 starts with
/// the largest payload is half of it, should they all go to one relay.
constexpr std::size_t most_unsent = 1U << 23; // bytes

struct channel_events
{
    std::function<void(std::string_view frame)> on_frame; ///< empty: the sender lives
    /// Once, when the connection ended by any way but close().
    std::function<void(const std::string& why)> on_closed;
};

/// Never blocks. Events may close or drop the channel. Held by shared pointers only.
class channel : public std::enable_shared_from_this<channel>
{
public:
    /// \param socket non-blocking and connected, or being connected
    channel(
        reactor::event_loop& loop, const ACE_SOCK_Stream& socket, bool connected, channel_events e);
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel();

    void open();

    /// Hands the frame to the socket as far as it takes it and keeps the rest.
    void send(std::string_view frame);

    /// Reads what lies in the socket. To be asked for before the other side is called silent: an
    /// event loop that lags has not read what came in time.
    void read_now();

    void close();

    bool connected() const;
    bool is_open() const;
    /// Bytes given to send(), and those of them that the socket has taken.
    std::uint64_t queued_bytes() const;
    std::uint64_t written_bytes() const;
    /// Counts readings that brought bytes.
    std::uint64_t received() const;

private:
    void on_ready(reactor::fd_events it);
    void finish_connect();
    void watch();
    void write();
    bool take_bytes();
    void take_frames();
    void fail(const std::string& why);

    reactor::event_loop& loop_;
    ACE_SOCK_Stream socket_;
    channel_events events_;
    std::string in_;
    std::string out_;
    std::size_t out_from_ = 0;
    std::uint64_t queued_ = 0;
    std::uint64_t written_ = 0;
    std::uint64_t received_ = 0;
    bool connected_;
    bool open_ = true;
    bool watches_writing_ = false;
    bool taking_ = false;
};

/// Sets what every socket of relays has: no delay for small frames, an early end when the other
/// side does not acknowledge, no blocking.
void tune(ACE_SOCK_Stream& socket);

} // namespace camphorhitch::relay
