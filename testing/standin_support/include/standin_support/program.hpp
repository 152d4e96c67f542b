/// \file
/// What every stand-in's main() does: options, the loop, the two ports, SIGTERM.
#pragma once

#include "standin_support/event_loop.hpp"
#include "standin_support/http_server.hpp"
#include "standin_support/router.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::standin_support
{

struct common_settings
{
    std::uint16_t port = 0;
    std::uint16_t control_port = 0;
    std::string token;
    std::uint64_t seed = 1;
};

/// A seeded source of chance.
class dice
{
public:
    explicit dice(std::uint64_t seed) : engine_(seed)
    {
    }

    void reseed(std::uint64_t seed)
    {
        engine_.seed(seed);
    }

    /// \param share from 0 to 1.
    bool chance(double share)
    {
        return share > 0 && std::uniform_real_distribution<>(0, 1)(engine_) < share;
    }

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(engine_);
    }

private:
    std::mt19937_64 engine_;
};

/// Milliseconds since 1970, for records.
std::int64_t unix_ms();

/// One running stand-in.
struct standin
{
    static constexpr std::size_t largest_body = 8u << 20; ///< bytes

    explicit standin(common_settings s) : settings(std::move(s))
    {
    }

    common_settings settings;
    event_loop loop;
    http_server server{loop, largest_body};

    /// Prints the line by which a driver learns that this program is ready, and runs the loop
    /// until SIGTERM or SIGINT.
    void serve(const listener& service, const listener& control);
};

/// One command line option; all have a value.
struct option
{
    std::string name;
    std::string help;
    std::string standard; ///< value when it isn't given
};

/// The command line, read.
class option_values
{
public:
    explicit option_values(std::map<std::string, std::string> values) : values_(std::move(values))
    {
    }

    const std::string& text(const std::string& name) const;
    /// \return the value; throws std::invalid_argument when it is no whole number from 0 on.
    std::int64_t number(const std::string& name) const;

private:
    std::map<std::string, std::string> values_;
};

/// Reads the command line (the common options and \p own) and runs \p body.
/// \return the program's exit code: 0, or 2 for wrong options.
int run_standin(int argc,
    char** argv,
    const std::string& about,
    std::vector<option> own,
    const std::function<void(standin&, const option_values&)>& body);

} // namespace camphorhitch::standin_support
