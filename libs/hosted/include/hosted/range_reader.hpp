/// \file
/// Reads all keys under a prefix, page by page.
#pragma once

#include "hosted/context.hpp"

#include <functional>
#include <string>

namespace camphorhitch::hosted
{

/// Calls \p on_item for each item under \p prefix, in the order of the keys.
/// \param on_end called once: with true after the last page, with false if the store did not answer
void read_range(const context& c,
    const std::string& prefix,
    const std::function<void(const ports::stored_item&)>& on_item,
    const std::function<void(bool complete)>& on_end);

} // namespace camphorhitch::hosted
