/// \file
/// Applies an operators' file: the configuration and the hosts of pools.
#pragma once

#include "context.hpp"
#include "operator_parts.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

class fleet_setup
{
public:
    using callback = std::function<void(std::vector<statement_result>)>;

    fleet_setup(context& c, operator_parts parts);

    /// \param text `{"configuration": {...}, "pools": [{"pool": ..., "hosts": [...]}]}`; either
    /// part
    ///   may be missing. All findings are reported before anything is done.
    /// \param command a repeat has its effect once.
    void apply(const std::string& text, const std::string& command, callback done);

private:
    struct work;
    void add_hosts(const std::shared_ptr<work>& w, std::size_t next);

    context& context_;
    operator_parts parts_;
};

} // namespace camphorhitch::daemon
