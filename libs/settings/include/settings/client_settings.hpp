/// \file
/// Settings of camphorhitch, the operators' client, read from one JSON file.
#pragma once

#include "core/findings.hpp"
#include "core/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::settings
{

/// Members have the names of their keys.
struct client_settings
{
    std::vector<std::string> operators; ///< operator addresses of daemons, tried in order
    std::string token;                  ///< the operators' token
    core::millis timeout{10000};        ///< timeout of one call
};

/// \param file_name name of the document in findings.
/// \return the settings, or all findings of \p text.
std::variant<client_settings, core::findings> read_client_settings(
    const std::string& text, const std::string& file_name);

} // namespace camphorhitch::settings
