/// \file
/// A hub for tests, with recorded lines, a controlled clock and reproducible ids.
#pragma once

#include "telemetry/telemetry.hpp"

#include <string>
#include <vector>

namespace camphorhitch::telemetry
{

struct recorded_hub
{
    std::vector<std::string> lines;
    core::mono_time now{core::micros{5000}};
    core::wall_time wall_now = core::from_unix_ms(1764698400123);

    builder make()
    {
        return builder{}
            .lines([this](std::string_view it) { lines.emplace_back(it); })
            .clocks([this] { return wall_now; }, [this] { return now; })
            .seed(7);
    }
};

} // namespace camphorhitch::telemetry
