/// \file
/// Names of the store's results in log lines.
#pragma once

#include "core/names.hpp"
#include "ports/key_value.hpp"

#include <string>

namespace camphorhitch::hosted
{

inline constexpr core::name_table<ports::kv_status, 5> store_answer_names{{
    {ports::kv_status::ok, "ok"},
    {ports::kv_status::conflict, "exists"},
    {ports::kv_status::unavailable, "unreachable"},
    {ports::kv_status::unknown, "unknown"},
    {ports::kv_status::rejected, "rejected"},
}};

/// \return the name of the store's result in log lines.
inline std::string store_answer(ports::kv_status s)
{
    return std::string{core::name_of(store_answer_names, s)};
}

} // namespace camphorhitch::hosted
