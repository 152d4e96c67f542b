/// \file
/// Applies an operators' setup file: the configuration and the hosts of pools.
#pragma once

#include "context.hpp"
#include "service_refs.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// Applies operators' setup files, with one write for the configuration and one per pool.
class fleet_setup
{
public:
    using callback = std::function<void(std::vector<statement_result>)>;

    fleet_setup(context& c, service_refs services);

    /// \param text `{"configuration": {...}, "pools": [{"pool": ..., "hosts": [...]}]}`; either
    /// part may be missing. All findings are reported before anything is written.
    /// \param command id of the command; a repeated command takes effect once.
    void apply(const std::string& text, const std::string& command, callback done);

private:
    struct work;
    void add_hosts(const std::shared_ptr<work>& w, std::size_t next);

    context& context_;
    service_refs services_;
};

} // namespace camphorhitch::daemon
