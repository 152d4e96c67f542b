/// \file
/// A camphorhitchd process: its adapters, its services and their connections.
#pragma once

#include "core/result.hpp"
#include "settings/daemon_settings.hpp"

#include <memory>

namespace camphorhitch::daemon
{

/// A camphorhitchd process outside hosting platforms.
class node
{
public:
    /// Opens all addresses.
    /// \return the node, or the reason why it can't start.
    static core::result<std::unique_ptr<node>> open(const settings::daemon_settings& s);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Runs until a graceful stop has ended.
    /// \return the process's exit code.
    int run();

private:
    struct parts;
    explicit node(std::unique_ptr<parts> p);

    std::unique_ptr<parts> parts_;
};

} // namespace camphorhitch::daemon
