/// \file
/// Command-line options of the client.
#pragma once

// No delimiter of lists: statements contain commas, and options with several values are repeated.
#define CXXOPTS_VECTOR_DELIMITER (char)0
#include <cxxopts.hpp>

namespace camphorhitch::client
{

cxxopts::Options describe_options();

} // namespace camphorhitch::client
