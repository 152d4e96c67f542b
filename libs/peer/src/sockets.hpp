/// \file
/// TCP sockets made by hand, for the exact errors of bind() and connect().
#pragma once

#include "core/result.hpp"

#include <cstdint>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <kj/io.h>
#include <string>
#include <sys/socket.h>

namespace camphorhitch::peer
{

struct socket_address
{
    sockaddr_storage bytes{};
    socklen_t size = 0;
};

/// \param text "ip:port" or "[ip]:port"; no names.
core::result<socket_address> parse_address(const std::string& text);

struct listening_socket
{
    kj::AutoCloseFd fd;
    std::uint16_t port = 0;
};

core::result<listening_socket> listen_at(const socket_address& at);

/// How connect() ended: a connected socket, or the error.
struct connect_outcome
{
    kj::AutoCloseFd fd;
    int error = 0; ///< errno, 0 when connected
};

/// kj's own connect() tells errors apart by the text of its exception only.
kj::Promise<connect_outcome> connect_to(kj::UnixEventPort& port, const socket_address& to);

/// Sends small messages at once, and notices within half a minute when the other side vanished
/// without a word; such a connection would otherwise count against the limits for ever.
void tune(int fd);

} // namespace camphorhitch::peer
