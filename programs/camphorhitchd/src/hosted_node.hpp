/// \file
/// One camphorhitchd on a hosting platform: the adapters, the parts, and what they tell one
/// another.
#pragma once

#include "core/result.hpp"
#include "settings/hosted_settings.hpp"

#include <memory>
#include <string>

namespace camphorhitch::daemon
{

class hosted_node
{
public:
    /// Opens all addresses.
    /// \param file where the settings came from; read again on SIGHUP
    /// \return the node, or why it can't start.
    static core::result<std::unique_ptr<hosted_node>> open(
        const settings::hosted_settings& s, const std::string& file);
    ~hosted_node();
    hosted_node(const hosted_node&) = delete;
    hosted_node& operator=(const hosted_node&) = delete;

    /// Runs until a graceful stop has ended.
    /// \return the process's exit code.
    int run();

private:
    struct parts;
    explicit hosted_node(std::unique_ptr<parts> p);

    std::unique_ptr<parts> parts_;
};

} // namespace camphorhitch::daemon
