#include "core/invariant.hpp"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace camphorhitch::core
{

namespace
{

void print_and_abort(const std::string& text)
{
    std::fprintf(stderr, "event=invariant_broken text=\"%s\"\n", text.c_str());
    std::abort();
}

invariant_handler& current_handler()
{
    static invariant_handler handler = print_and_abort;
    return handler;
}

} // namespace

invariant_handler set_invariant_handler(invariant_handler next)
{
    return std::exchange(current_handler(), std::move(next));
}

void require(bool condition, const char* text)
{
    if (!condition)
    {
        current_handler()(text);
    }
}

void require(bool condition, const char* text, const std::string& detail)
{
    if (!condition)
    {
        current_handler()(std::string{text} + ": " + detail);
    }
}

} // namespace camphorhitch::core
