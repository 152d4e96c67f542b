/// \file
/// Routing of requests by method and path, after a check of the token.
#pragma once

#include "standin_support/http_server.hpp"

#include <string>
#include <vector>

namespace camphorhitch::standin_support
{

/// The path segments that the stars of a pattern matched.
using path_parts = std::vector<std::string>;

/// A method, a path pattern and their handler.
struct route
{
    std::string method;
    std::string pattern; ///< "/v1/hosts/*/tasks"; a star matches one segment of the path
    std::function<void(const exchange_ptr&, const path_parts&)> handler;
};

/// A handler that answers at once.
using simple_action = std::function<ports::http_response(const ports::http_request&)>;

/// \return a route with a handler that answers at once.
route simple_route(std::string method, std::string pattern, simple_action handler);

/// \param token if not empty, a request without this token (as `Authorization`, with or without
/// "Bearer ") is answered with 401 and has no effect
/// \return a handler that answers 404 for requests that match no route.
exchange_handler make_router(std::string token, std::vector<route> routes);

/// \return whether \p path matches \p pattern.
/// \param parts receives the segments matched by stars
bool matches(const std::string& pattern, const std::string& path, path_parts& parts);

/// \return the value of \p name in the query, or an empty string.
std::string query_value(const std::string& query, const std::string& name);

} // namespace camphorhitch::standin_support
