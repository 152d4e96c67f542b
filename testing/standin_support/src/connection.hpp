/// \file
/// The server's state of one open connection.
#pragma once

#include "standin_support/http_server.hpp"

namespace camphorhitch::standin_support
{

/// One open connection.
struct connection
{
    int fd = -1;
    listener* owner = nullptr;
    MHD_Connection* wire = nullptr;
    bool silent = false;      ///< the connection discards all input and sends nothing
    bool peer_closed = false; ///< the caller has closed its side
    exchange_ptr current;     ///< the request being handled, if any
};

} // namespace camphorhitch::standin_support
