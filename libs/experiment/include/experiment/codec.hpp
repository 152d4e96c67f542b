/// \file
/// Converts documents of experiments to and from JSON text. Stored documents are read leniently.
#pragma once

#include "core/findings.hpp"
#include "experiment/lifecycle.hpp"

#include <string>
#include <variant>

namespace camphorhitch::experiment
{

template <class T>
/// A document, or the findings that make it unreadable.
using decoded = std::variant<T, core::findings>;

/// \return the JSON text of the document.
std::string encode(const experiment_document& d);

/// \param name name of the document, used in findings.
/// \return the document, or the findings that make it unreadable.
decoded<experiment_document> decode_experiment(const std::string& text, const std::string& name);

/// Reads an operator's request strictly: unknown keys are findings as well.
decoded<start_request> decode_start(const std::string& text, const std::string& name);

} // namespace camphorhitch::experiment
