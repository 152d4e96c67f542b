/// \file
/// The configuration in force here, and operators' changes of it.
#pragma once

#include "context.hpp"
#include "core/invariant.hpp"
#include "membership_service.hpp"
#include "model/config.hpp"

#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// Changes a configuration, or says why it can't.
using config_change = std::function<core::result<core::done>(model::configuration&)>;

class config_service
{
public:
    config_service(context& c, membership_service& members);

    /// \param adopted called with each configuration that comes into force here.
    void set_listener(std::function<void(const model::configuration&)> adopted);
    void on_document(const ports::kv_entry& entry);
    void on_offer(const std::string& document, bool fresh_peer);

    /// Writes a new version. \p command: a repeat of it has its effect once.
    /// \param done told the version that holds the change, or why there is none.
    void change(const std::string& command,
        config_change change,
        std::function<void(core::result<std::int64_t>)> done);

    const model::configuration& current() const;
    /// \return whether every member of the roster that can act has \p version in force.
    bool in_force_everywhere(std::int64_t version) const;
    /// \return the version in which \p command took effect, as far as it is remembered.
    bool applied(const std::string& command) const;

private:
    void adopt(const std::string& text, model::configuration next, const char* from);

    context& context_;
    membership_service& members_;
    model::configuration current_;
    std::function<void(const model::configuration&)> adopted_;
};

} // namespace camphorhitch::daemon
