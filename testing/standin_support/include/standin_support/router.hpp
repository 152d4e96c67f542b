/// \file
/// From a request's method and path to its handler, behind one token.
#pragma once

#include "standin_support/http_server.hpp"

#include <string>
#include <vector>

namespace camphorhitch::standin_support
{

/// The parts of the path that the pattern's stars took.
using path_parts = std::vector<std::string>;

struct route
{
    std::string method;
    std::string pattern; ///< "/v1/hosts/*/tasks"; a star takes one part of the path
    std::function<void(const exchange_ptr&, const path_parts&)> act;
};

using simple_action = std::function<ports::http_response(const ports::http_request&)>;

/// A route whose action answers at once.
route simple_route(std::string method, std::string pattern, simple_action act);

/// \param token when not empty, a request without it (as `Authorization`, with or without
/// "Bearer ") gets 401 and has no effect.
/// \return a handler that answers 404 for what no route takes.
exchange_handler make_router(std::string token, std::vector<route> routes);

/// \return whether \p path fits \p pattern; \p parts gets what the stars took.
bool matches(const std::string& pattern, const std::string& path, path_parts& parts);

/// \return the value of \p name in the query, or an empty string.
std::string query_value(const std::string& query, const std::string& name);

} // namespace camphorhitch::standin_support
