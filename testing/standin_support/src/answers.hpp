/// \file
/// Answers in libmicrohttpd's terms.
#pragma once

#include "ports/http.hpp"

#include <microhttpd.h>

namespace camphorhitch::standin_support
{

inline constexpr std::size_t answer_block_size = 64u << 10; ///< bytes

/// Queues \p response with status and header fields of \p r, and gives it up.
MHD_Result queue(MHD_Connection* wire, const ports::http_response& r, MHD_Response* response);

MHD_Result queue_whole(MHD_Connection* wire, const ports::http_response& r);

/// Announces the whole body and fails after half of it.
MHD_Result queue_truncated(MHD_Connection* wire, const ports::http_response& r);

} // namespace camphorhitch::standin_support
