/// \file
/// The common parts of the stand-ins' main(): options, the loop, the two ports and SIGTERM.
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

/// Settings that all stand-ins have.
struct common_settings
{
    std::uint16_t port = 0;
    std::uint16_t control_port = 0;
    std::string token;
    std::uint64_t seed = 1;
};

/// A seeded random number generator.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed)
    {
    }

    void reseed(std::uint64_t seed)
    {
        engine_.seed(seed);
    }

    /// \return true with probability \p share, 0 to 1.
    bool chance(double share)
    {
        return share > 0 && std::uniform_real_distribution<>(0, 1)(engine_) < share;
    }

    /// \return a uniformly distributed integer, bounds included.
    std::int64_t between(std::int64_t min, std::int64_t max)
    {
        return std::uniform_int_distribution<std::int64_t>(min, max)(engine_);
    }

private:
    std::mt19937_64 engine_;
};

/// \return the wall time in ms since 1970, for records.
std::int64_t unix_ms();

/// One running stand-in.
struct standin
{
    static constexpr std::size_t max_body_bytes = 8u << 20; ///< bytes

    explicit standin(common_settings s) : settings(std::move(s))
    {
    }

    common_settings settings;
    event_loop loop;
    http_server server{loop, max_body_bytes};

    /// Prints the line that tells a driver that the program is ready, and runs the loop until
    /// SIGTERM or SIGINT.
    void serve(const listener& service, const listener& control);
};

/// One command line option. All options have a value.
struct option
{
    std::string name;
    std::string help;
    std::string default_value; ///< default value
};

/// The parsed command line.
class option_values
{
public:
    explicit option_values(std::map<std::string, std::string> values) : values_(std::move(values))
    {
    }

    /// \return the value of an option that exists.
    const std::string& text(const std::string& name) const;
    /// \return the value as a number.
    /// \throw std::invalid_argument if the value is not a non-negative integer
    std::int64_t number(const std::string& name) const;

private:
    std::map<std::string, std::string> values_;
};

/// Parses the command line (the common options and \p own) and runs \p body.
/// \return the program's exit code: 0, or 2 for invalid options.
int run_standin(int argc,
    char** argv,
    const std::string& about,
    std::vector<option> own,
    const std::function<void(standin&, const option_values&)>& body);

} // namespace camphorhitch::standin_support
