/// \file
/// The options that the client's command line knows.
#pragma once

// Statements hold commas; a list of values is given by repeating the option.
#define CXXOPTS_VECTOR_DELIMITER (char)0
#include <cxxopts.hpp>

namespace camphorhitch::client
{

cxxopts::Options describe_options();

} // namespace camphorhitch::client
