#include "config_service.hpp"

#include "membership/accept_config.hpp"
#include "model/codec.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

/// Number of recent commands recorded to detect repeats. An operator repeats a command within
/// minutes, before that many further changes.
constexpr std::size_t max_recorded_commands = 64;

bool contains(const std::vector<std::string>& all, const std::string& one)
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

core::result<model::configuration> decode_or_default(const std::string* text)
{
    if (text == nullptr)
    {
        return model::configuration{};
    }
    auto decoded =
        model::decode_configuration(*text, model::keys::config, model::strictness::lenient);
    if (const auto* findings = std::get_if<core::findings>(&decoded))
    {
        return core::error{core::error_code::unavailable, core::to_text(*findings)};
    }
    return std::get<model::configuration>(std::move(decoded));
}

change_result apply_change(const std::string* text,
    const std::string& command,
    const config_change& change,
    std::int64_t& version)
{
    auto decoded_config = decode_or_default(text);
    if (!core::is_ok(decoded_config))
    {
        return core::failure(decoded_config);
    }
    auto next = core::value(decoded_config);
    version = next.version;
    if (contains(next.commands, command))
    {
        return std::optional<std::string>{};
    }
    const auto changed = change(next);
    if (!core::is_ok(changed))
    {
        return core::failure(changed);
    }
    if (const auto findings = model::check(next, "configuration"); !findings.empty())
    {
        return core::error{core::error_code::invalid, core::to_text(findings)};
    }
    version = ++next.version;
    next.commands.push_back(command);
    if (next.commands.size() > max_recorded_commands)
    {
        next.commands.erase(next.commands.begin());
    }
    return std::optional<std::string>{model::encode(next)};
}

} // namespace

config_service::config_service(context& c, membership_service& members)
    : context_(c), members_(members)
{
}

void config_service::set_listener(std::function<void(const model::configuration&)> adopted)
{
    on_adopted_ = std::move(adopted);
}

const model::configuration& config_service::current() const
{
    return current_;
}

void config_service::on_document(const ports::kv_entry& entry)
{
    if (entry.key != model::keys::config || entry.modified == 0)
    {
        return;
    }
    auto next = decode_or_default(&entry.value);
    if (!core::is_ok(next))
    {
        context_.log(ports::log_level::error,
            "configuration_damaged",
            {{"findings", core::failure(next).message}});
        return;
    }
    const auto version = current_.version > 0 ? std::optional(current_.version) : std::nullopt;
    if (membership::accept_config(
            version, core::value(next).version, membership::config_source::store))
    {
        adopt(entry.value, core::value(next), "store");
    }
}

void config_service::on_offer(const std::string& document, bool fresh_peer)
{
    auto next = decode_or_default(&document);
    const auto version = current_.version > 0 ? std::optional(current_.version) : std::nullopt;
    const auto source =
        fresh_peer ? membership::config_source::fresh_peer : membership::config_source::stale_peer;
    if (core::is_ok(next) && membership::accept_config(version, core::value(next).version, source))
    {
        adopt(document, core::value(next), "peer");
    }
}

void config_service::adopt(const std::string& text, model::configuration next, const char* from)
{
    core::require(next.version > current_.version, "a configuration in force never reverts");
    current_ = std::move(next);
    context_.log(ports::log_level::info,
        "configuration_adopted",
        {{"version", std::to_string(current_.version)}, {"from", from}});
    context_.telemetry.gauge(
        "camphorhitch_config_version", {}, static_cast<double>(current_.version));
    members_.set_config_in_force({current_.version, text});
    on_adopted_(current_);
}

void config_service::change(const std::string& command,
    config_change change,
    std::function<void(core::result<std::int64_t>)> done)
{
    const auto version = std::make_shared<std::int64_t>(0);
    update_document(
        context_.document_updater(),
        model::keys::config,
        [command, change = std::move(change), version](const std::string* current)
        { return apply_change(current, command, change, *version); },
        [version, done = std::move(done)](const core::result<core::done>& end)
        {
            if (core::is_ok(end))
            {
                done(*version);
            }
            else
            {
                done(core::failure(end));
            }
        });
}

bool config_service::in_force_everywhere(std::int64_t version) const
{
    if (current_.version < version)
    {
        return false;
    }
    const auto& roster = members_.roster();
    return std::all_of(roster.members.begin(),
        roster.members.end(),
        [&](const model::member_record& it)
        {
            if (it.id == context_.self.id)
            {
                return true;
            }
            const auto peer = members_.peers().find(it.id);
            return peer != members_.peers().end() && peer->second.config_version >= version;
        });
}

bool config_service::is_applied(const std::string& command) const
{
    return contains(current_.commands, command);
}

} // namespace camphorhitch::daemon
