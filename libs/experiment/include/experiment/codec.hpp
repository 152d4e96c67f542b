/// \file
/// Documents of experiments to JSON text and back. Stored documents are read leniently.
#pragma once

#include "core/findings.hpp"
#include "experiment/lifecycle.hpp"

#include <string>
#include <variant>

namespace camphorhitch::experiment
{

template <class T>
using decoded = std::variant<T, core::findings>;

std::string encode(const experiment_document& d);

/// \param name the document's name in findings.
decoded<experiment_document> decode_experiment(const std::string& text, const std::string& name);

/// Reads an operator's request, strictly.
decoded<start_request> decode_start(const std::string& text, const std::string& name);

} // namespace camphorhitch::experiment
