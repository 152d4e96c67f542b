/// \file
/// HTTP calls of the client, by libcurl.
#pragma once

#include "session.hpp"

namespace camphorhitch::client
{

/// Sends HTTP requests. The object owns the global state of libcurl during its lifetime.
class transport
{
public:
    /// \param token the operators' token, sent with each request.
    /// \param timeout_ms timeout of one request in milliseconds.
    transport(std::string token, int timeout_ms);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    raw_answer send(const std::string& server, const operator_request& request) const;

private:
    std::string token_;
    int timeout_ms_;
};

} // namespace camphorhitch::client
