#include "standin_support/router.hpp"

#include "standin_support/json.hpp"

#include <sstream>
#include <utility>

namespace camphorhitch::standin_support
{

namespace
{

std::vector<std::string> split(const std::string& text, char mark)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, mark))
    {
        parts.push_back(part);
    }
    return parts;
}

bool is_authorized(const ports::http_request& request, const std::string& token)
{
    const auto* const field = ports::find_field(request.fields, "Authorization");
    return token.empty() || (field != nullptr && (*field == token || *field == "Bearer " + token));
}

} // namespace

route simple_route(std::string method, std::string pattern, simple_action handler)
{
    const auto answer = [handler = std::move(handler)](
                            const exchange_ptr& pending, const path_parts&)
    {
        pending->respond(handler(pending->request));
    };
    return {std::move(method), std::move(pattern), answer};
}

bool matches(const std::string& pattern, const std::string& path, path_parts& parts)
{
    const auto wanted = split(pattern, '/');
    const auto given = split(path, '/');
    parts.clear();
    if (wanted.size() != given.size())
    {
        return false;
    }
    for (std::size_t i = 0; i < wanted.size(); ++i)
    {
        if (wanted[i] == "*")
        {
            parts.push_back(given[i]);
        }
        else if (wanted[i] != given[i])
        {
            return false;
        }
    }
    return true;
}

exchange_handler make_router(std::string token, std::vector<route> routes)
{
    return [token = std::move(token), routes = std::move(routes)](const exchange_ptr& pending)
    {
        if (!is_authorized(pending->request, token))
        {
            pending->respond(error_response(401, "no or wrong token"));
            return;
        }
        path_parts parts;
        for (const auto& it : routes)
        {
            if (it.method == pending->request.method &&
                matches(it.pattern, pending->request.path, parts))
            {
                it.handler(pending, parts);
                return;
            }
        }
        pending->respond(error_response(404, "no such path"));
    };
}

std::string query_value(const std::string& query, const std::string& name)
{
    for (const auto& it : split(query, '&'))
    {
        if (it.starts_with(name + "="))
        {
            return it.substr(name.size() + 1);
        }
    }
    return "";
}

} // namespace camphorhitch::standin_support
