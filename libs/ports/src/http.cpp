#include "ports/http.hpp"

#include <algorithm>
#include <cctype>

namespace camphorhitch::ports
{

namespace
{

bool same_letter(char a, char b)
{
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
}

} // namespace

const std::string* find_field(const http_fields& fields, std::string_view name)
{
    for (const auto& [key, text] : fields)
    {
        if (std::equal(key.begin(), key.end(), name.begin(), name.end(), same_letter))
        {
            return &text;
        }
    }
    return nullptr;
}

} // namespace camphorhitch::ports
