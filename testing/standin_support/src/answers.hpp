/// \file
/// Conversion of answers to libmicrohttpd's responses.
#pragma once

#include "ports/http.hpp"

#include <microhttpd.h>

namespace camphorhitch::standin_support
{

inline constexpr std::size_t answer_block_size = 64u << 10; ///< bytes

/// Queues \p response with the status and header fields of \p r, and releases it.
MHD_Result queue(MHD_Connection* wire, const ports::http_response& r, MHD_Response* response);

/// Queues the complete answer.
MHD_Result queue_whole(MHD_Connection* wire, const ports::http_response& r);

/// Queues an answer that announces the whole body and fails after half of it.
MHD_Result queue_truncated(MHD_Connection* wire, const ports::http_response& r);

} // namespace camphorhitch::standin_support
