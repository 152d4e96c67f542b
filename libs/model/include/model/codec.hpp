/// \file
/// Conversion between documents and JSON text. Decoding reports all findings, each with its JSON
/// pointer and, when it is known, its line. Unknown keys are findings in the input of operators
/// (strict), and are ignored in stored documents (lenient), because a newer version may have
/// written them.
#pragma once

#include "checked_json/reader.hpp"
#include "core/findings.hpp"
#include "model/config.hpp"
#include "model/fleet.hpp"

#include <string>
#include <variant>

namespace camphorhitch::model
{

using checked_json::strictness;

/// A document, or the findings that prevented its decoding.
template <class T>
using decoded = std::variant<T, core::findings>;

std::string encode(const configuration& c);
std::string encode(const pool_document& d);
std::string encode(const wave_document& d);
std::string encode(const roster_document& d);
std::string encode(const member_record& d);

/// \param name name of the document in findings.
decoded<configuration> decode_configuration(
    const std::string& text, const std::string& name, strictness mode);
decoded<pool_document> decode_pool(
    const std::string& text, const std::string& name, strictness mode);
decoded<wave_document> decode_wave(
    const std::string& text, const std::string& name, strictness mode);
decoded<roster_document> decode_roster(const std::string& text, const std::string& name);
decoded<member_record> decode_member(const std::string& text, const std::string& name);

/// \return the contradictions within a configuration: unknown policies, a service in two pools,
///     budgets of 0.
/// \param name name of the document in findings.
core::findings check(const configuration& c, const std::string& name);

} // namespace camphorhitch::model
