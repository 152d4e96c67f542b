/// \file
/// A camphorhitchd process on a hosting platform: its adapters, its components and their
/// connections.
#pragma once

#include "core/result.hpp"
#include "settings/hosted_settings.hpp"

#include <memory>
#include <string>

namespace camphorhitch::daemon
{

/// A node of camphorhitchd on a hosting platform.
class hosted_node
{
public:
    /// Opens all addresses.
    /// \param file path of the settings file; read again on SIGHUP
    /// \return the node, or the reason why it can't start.
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
