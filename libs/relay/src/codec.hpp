/// \file
/// Batches as bytes of Cap'n Proto.
#pragma once

#include "core/result.hpp"
#include "messages.hpp"

#include <string>
#include <string_view>

namespace camphorhitch::relay
{

std::string encode(const order_batch& it);
std::string encode(const answer_batch& it);

/// \param bytes as encode() made them; may be anything
/// \return the batch, or why the bytes are none.
core::result<order_batch> decode_orders(std::string_view bytes);
core::result<answer_batch> decode_answers(std::string_view bytes);

/// \return about how many bytes the item takes in a frame; never less.
std::size_t size_bound(const order& it);
std::size_t size_bound(const answer& it);

} // namespace camphorhitch::relay
