/// \file
/// Documents to JSON text and back. Decoding reports every finding, each with its JSON pointer
/// and, where it can be had, its line. Fields that a newer version wrote are findings in
/// operators' input (strict) and are ignored in stored documents (lenient).
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

template <class T>
using decoded = std::variant<T, core::findings>;

std::string encode(const configuration& c);
std::string encode(const pool_document& d);
std::string encode(const wave_document& d);
std::string encode(const roster_document& d);
std::string encode(const member_record& d);

/// \param name the document's name in findings.
decoded<configuration> decode_configuration(
    const std::string& text, const std::string& name, strictness how);
decoded<pool_document> decode_pool(
    const std::string& text, const std::string& name, strictness how);
decoded<wave_document> decode_wave(
    const std::string& text, const std::string& name, strictness how);
decoded<roster_document> decode_roster(const std::string& text, const std::string& name);
decoded<member_record> decode_member(const std::string& text, const std::string& name);

/// Contradictions inside a configuration: unknown policies, a service in two pools, budgets of 0.
core::findings check(const configuration& c, const std::string& name);

} // namespace camphorhitch::model
