/// \file
/// Reads all keys of a prefix, page by page.
#pragma once

#include "hosted/context.hpp"

#include <functional>
#include <string>

namespace camphorhitch::hosted
{

/// Gives each item under \p prefix to \p take, in the order of the keys.
/// \param end called once: with true after the last page, with false when the store did not answer
void read_range(const context& c,
    const std::string& prefix,
    const std::function<void(const ports::stored_item&)>& take,
    const std::function<void(bool whole)>& end);

} // namespace camphorhitch::hosted
