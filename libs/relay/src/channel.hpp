/// \file
/// Transfers frames over one TCP connection on the event loop. A frame consists of a four-byte
/// length, least significant byte first, and that number of bytes. An empty frame is a heartbeat.
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

/// Maximum size of a frame. Senders split their batches well below this size. It bounds the memory
/// that a faulty or hostile length field can make the receiver allocate.
constexpr std::size_t max_frame_bytes = 1U << 20; // bytes
/// Size at which batches are split.
constexpr std::size_t max_batch_bytes = 1U << 18; // bytes
/// A peer that leaves this many bytes unread counts as lost. A plan of 1,000 starts with the
/// largest payload is half of this size, if all of them go to one relay.
constexpr std::size_t max_unsent_bytes = 1U << 23; // bytes

/// Handlers of a channel's events.
struct channel_events
{
    std::function<void(std::string_view frame)> on_frame; ///< an empty frame is a heartbeat
    /// Called once, when the connection ends in any way other than close().
    std::function<void(const std::string& reason)> on_closed;
};

/// A channel never blocks. Event handlers may close or release the channel. A channel must be held
/// by shared pointers only.
class channel : public std::enable_shared_from_this<channel>
{
public:
    /// \param socket a non-blocking socket that is connected or connecting
    channel(
        reactor::event_loop& loop, const ACE_SOCK_Stream& socket, bool connected, channel_events e);
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel();

    void open();

    /// Writes as much of the frame as the socket accepts and buffers the remaining bytes.
    void send(std::string_view frame);

    /// Reads the data that is waiting in the socket. Must be called before the peer is considered
    /// unresponsive: an event loop that lags has not yet read data that arrived in time.
    void read_now();

    void close();

    bool connected() const;
    bool is_open() const;
    /// \return the number of bytes passed to send(), and the number of these bytes that the socket
    ///   has accepted.
    std::uint64_t queued_bytes() const;
    std::uint64_t written_bytes() const;
    /// \return the number of reads that returned data.
    std::uint64_t receive_count() const;

private:
    void on_ready(reactor::fd_events it);
    void finish_connect();
    void update_watch();
    void write();
    bool receive_bytes();
    void dispatch_frames();
    void fail(const std::string& reason);

    reactor::event_loop& loop_;
    ACE_SOCK_Stream socket_;
    channel_events events_;
    std::string receive_buffer_;
    std::string send_buffer_;
    std::size_t send_offset_ = 0;
    std::uint64_t queued_bytes_ = 0;
    std::uint64_t written_bytes_ = 0;
    std::uint64_t receive_count_ = 0;
    bool connected_;
    bool open_ = true;
    bool watching_writable_ = false;
    bool reading_ = false;
};

/// Sets the options of every relay socket: no delay for small frames, an early end when the peer
/// does not acknowledge data, and non-blocking mode.
void configure_socket(ACE_SOCK_Stream& socket);

} // namespace camphorhitch::relay
