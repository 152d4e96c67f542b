/// \file
/// TCP sockets created directly, in order to get the exact errors of bind() and connect().
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

/// An address in the form of the socket functions.
struct socket_address
{
    sockaddr_storage bytes{};
    socklen_t size = 0;
};

/// \param text "ip:port" or "[ip]:port"; host names are not accepted.
core::result<socket_address> parse_address(const std::string& text);

/// A listening socket and its port.
struct listening_socket
{
    kj::AutoCloseFd fd;
    std::uint16_t port = 0;
};

/// \return a listening socket, or `unavailable` with the failed call and its error.
core::result<listening_socket> listen_at(const socket_address& at);

/// Result of connect(): a connected socket or an error.
struct socket_result
{
    kj::AutoCloseFd fd;
    int error = 0; ///< errno; 0 when connected
};

/// Connects a socket. The connect() of kj distinguishes errors only by the text of its exception.
kj::Promise<socket_result> connect_to(kj::UnixEventPort& port, const socket_address& to);

/// Configures a socket to send small messages without delay and to detect within half a minute that
/// the other side has vanished without closing the connection; such a connection would otherwise
/// count towards the limits for ever.
void configure_socket(int fd);

} // namespace camphorhitch::peer
