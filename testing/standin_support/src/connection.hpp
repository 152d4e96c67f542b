/// \file
/// What the server knows of one open connection.
#pragma once

#include "standin_support/http_server.hpp"

namespace camphorhitch::standin_support
{

struct connection
{
    int fd = -1;
    listener* owner = nullptr;
    MHD_Connection* wire = nullptr;
    bool silent = false;      ///< swallows all that comes, sends nothing
    bool peer_closed = false; ///< the other end has closed its side
    exchange_ptr current;
};

} // namespace camphorhitch::standin_support
