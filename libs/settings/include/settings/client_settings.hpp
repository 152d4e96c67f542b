/// \file
/// The settings of camphorhitch, the operators' client, from one JSON file.
#pragma once

#include "core/findings.hpp"
#include "core/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace camphorhitch::settings
{

struct client_settings
{
    std::vector<std::string> operators; ///< daemons' operator addresses, tried in order
    std::string token;
    core::millis timeout{10000}; ///< of one call
};

/// \param file_name the document's name in findings.
/// \return the settings, or everything that is wrong with \p text.
std::variant<client_settings, core::findings> read_client_settings(
    const std::string& text, const std::string& file_name);

} // namespace camphorhitch::settings
