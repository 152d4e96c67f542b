#include "text.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace camphorhitch::jobs
{

std::string number_text(double v)
{
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%.6g", v);
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::string to_text(const resources& a)
{
    std::string text =
        number_text(a.processors) + " processors, " + number_text(a.memory_gb) + " GB";
    if (a.accelerators != 0)
    {
        text += ", " + std::to_string(a.accelerators) +
                (a.accelerators == 1 ? " accelerator" : " accelerators");
    }
    return text;
}

std::string shortfall_text(const resources& need, const resources& available)
{
    std::string text;
    const auto add = [&](double lack, const char* unit)
    {
        if (lack > 0)
        {
            text += (text.empty() ? "" : ", ") + number_text(lack) + unit;
        }
    };
    const int accelerators = need.accelerators - available.accelerators;
    add(need.processors - available.processors, " processors");
    add(need.memory_gb - available.memory_gb, " GB");
    add(accelerators, accelerators == 1 ? " accelerator" : " accelerators");
    return text;
}

} // namespace camphorhitch::jobs
