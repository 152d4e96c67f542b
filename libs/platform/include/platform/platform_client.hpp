/// \file
/// The platform over HTTP with JSON.
#pragma once

#include "core/result.hpp"
#include "core/time.hpp"
#include "ports/http.hpp"
#include "ports/platform.hpp"

#include <memory>
#include <string>

namespace camphorhitch::platform
{

/// Bytes and calls on the wire, for the figures of control traffic.
struct counters
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytes_out = 0; ///< bodies only
    std::uint64_t bytes_in = 0;  ///< bodies only
};

class platform_client
{
public:
    class builder;

    /// \return functions that stay valid as long as this object.
    ports::platform port() const;
    const counters& counts() const;

private:
    struct parts;
    explicit platform_client(std::shared_ptr<parts> p);

    std::shared_ptr<parts> parts_;
};

class platform_client::builder
{
public:
    builder& http(ports::http_client it);
    builder& live_list(std::string address); ///< "ip:port", or empty: there is none
    builder& workers(std::string address);   ///< "ip:port", or empty: there are none
    builder& token(std::string it);
    builder& timeout(core::millis it);
    core::result<platform_client> build() const;

private:
    ports::http_client http_;
    std::string live_list_;
    std::string workers_;
    std::string token_;
    core::millis timeout_{2000};
};

} // namespace camphorhitch::platform
