/// \file
/// Encodes batches with Cap'n Proto.
#pragma once

#include "core/result.hpp"
#include "messages.hpp"

#include <string>
#include <string_view>

namespace camphorhitch::relay
{

std::string encode(const order_batch& it);
std::string encode(const answer_batch& it);

/// \param bytes the output of encode(), or arbitrary bytes
/// \return the batch, or the reason why the bytes are not a batch.
core::result<order_batch> decode_orders(std::string_view bytes);
core::result<answer_batch> decode_answers(std::string_view bytes);

/// \return an upper bound of the size of the item in a frame, in bytes.
std::size_t max_encoded_size(const order& it);
std::size_t max_encoded_size(const answer& it);

} // namespace camphorhitch::relay
