/// \file
/// The client's HTTP calls, by libcurl.
#pragma once

#include "session.hpp"

namespace camphorhitch::client
{

/// Holds libcurl's global state while the client runs.
class transport
{
public:
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
