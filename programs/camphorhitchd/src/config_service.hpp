/// \file
/// The configuration in force at this member, and operators' changes to it.
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

/// Changes a configuration, or returns the reason why the change is not possible.
using config_change = std::function<core::result<core::done>(model::configuration&)>;

/// Adopts newer configurations from the store and from peers, and writes changes.
class config_service
{
public:
    config_service(context& c, membership_service& members);

    /// \param adopted called with each configuration that comes into force at this member.
    void set_listener(std::function<void(const model::configuration&)> adopted);
    /// Adopts the stored configuration if its version is newer; other keys are ignored.
    void on_document(const ports::kv_entry& entry);
    /// Adopts a configuration that a peer sent if the rules for its source allow it.
    /// \param fresh_peer whether the peer was fresh by its own state.
    void on_offer(const std::string& document, bool fresh_peer);

    /// Writes a new version of the configuration.
    /// \param command id of the command; a repeated command takes effect once.
    /// \param done receives the version that contains the change, or the error.
    void change(const std::string& command,
        config_change change,
        std::function<void(core::result<std::int64_t>)> done);

    /// \return the configuration in force; version 0 while there is none.
    const model::configuration& current() const;
    /// \return whether every member of the roster has \p version or a later one in force, by its
    /// last heartbeat.
    bool in_force_everywhere(std::int64_t version) const;
    /// \return whether \p command took effect in the configuration in force; only the last 64
    /// commands are recorded.
    bool is_applied(const std::string& command) const;

private:
    void adopt(const std::string& text, model::configuration next, const char* from);

    context& context_;
    membership_service& members_;
    model::configuration current_;
    std::function<void(const model::configuration&)> on_adopted_;
};

} // namespace camphorhitch::daemon
