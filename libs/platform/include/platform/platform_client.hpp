/// \file
/// Client of the platform's live list and workers over HTTP with JSON. Implements ports::platform.
#pragma once

#include "core/result.hpp"
#include "core/time.hpp"
#include "ports/http.hpp"
#include "ports/platform.hpp"

#include <memory>
#include <string>

namespace camphorhitch::platform
{

/// Calls and bytes since the start of the process, for the metrics of control traffic.
struct counters
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;  ///< calls without an answer with a 2xx status
    std::uint64_t bytes_out = 0; ///< bytes of request bodies
    std::uint64_t bytes_in = 0;  ///< bytes of answer bodies
};

/// A client of the platform.
class platform_client
{
public:
    class builder;

    /// \return the port, whose functions are valid while this object exists.
    ports::platform port() const;
    /// \return the counters of all calls.
    const counters& counts() const;

private:
    struct parts;
    explicit platform_client(std::shared_ptr<parts> p);

    std::shared_ptr<parts> parts_;
};

/// Creates a client. The HTTP client is required.
class platform_client::builder
{
public:
    builder& http(ports::http_client it);
    /// \param address "ip:port" of the live list; empty: the platform has none
    builder& live_list(std::string address);
    /// \param address "ip:port" of the interface for workers; empty: the platform has none
    builder& workers(std::string address);
    /// Token that is sent in the header field Authorization.
    builder& token(std::string it);
    /// Connect timeout and total timeout of each call.
    builder& timeout(core::millis it);
    /// \return an error when the HTTP client is missing or the timeout is not positive
    core::result<platform_client> build() const;

private:
    ports::http_client http_;
    std::string live_list_;
    std::string workers_;
    std::string token_;
    core::millis timeout_{2000};
};

} // namespace camphorhitch::platform
