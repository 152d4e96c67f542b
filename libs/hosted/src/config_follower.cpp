#include "hosted/config_follower.hpp"

#include "damaged_record_log.hpp"

#include <utility>

namespace camphorhitch::hosted
{

config_follower::config_follower(context c, const formats& f, config_events e)
    : ctx_(std::move(c)), formats_(f), events_(std::move(e)),
      damaged_records_(std::make_unique<damaged_record_log>())
{
    follower_settings settings;
    settings.prefix = formats_.operator_prefix;
    follower_events seen;
    seen.on_all = [this](const std::vector<ports::stored_item>& all)
    {
        for (const auto& it : all)
        {
            apply_item(it);
        }
    };
    seen.on_changes = [this](const std::vector<ports::stored_change>& all)
    {
        for (const auto& it : all)
        {
            if (!it.removed)
            {
                apply_item(it.item);
            }
        }
    };
    follower_ = std::make_unique<prefix_follower>(ctx_, settings, seen);
}

config_follower::~config_follower() = default;

void config_follower::start()
{
    follower_->start();
}

const fleet_config* config_follower::config() const
{
    return config_ ? &*config_ : nullptr;
}

core::mono_time config_follower::last_answer_at() const
{
    return follower_->last_answer_at();
}

void config_follower::apply_item(const ports::stored_item& it)
{
    if (it.key == formats_.config_key)
    {
        apply_config(it);
    }
    else if (it.key.starts_with(formats_.wave_prefix))
    {
        apply_wave(it);
    }
}

void config_follower::log_damaged_record(
    const char* event, const ports::stored_item& it, const std::string& reason)
{
    if (should_log(*damaged_records_, it))
    {
        ctx_.tel.log(ports::log_level::error,
            event,
            {{"key", it.key}, {"revision", std::to_string(it.modified)}, {"reason", reason}});
    }
}

/// A configuration that cannot be read is logged and leaves the one in force, so that callers
/// continue to be served.
void config_follower::apply_config(const ports::stored_item& it)
{
    auto read = formats_.read_config(it.value);
    if (!core::is_ok(read))
    {
        log_damaged_record("config_damaged", it, core::failure(read).message);
        return;
    }
    auto& next = core::value(read);
    // The configuration never goes back to an older version: a read that started before a change
    // may be answered after it.
    if (config_ && next.version <= config_->version)
    {
        return;
    }
    ctx_.tel.log(ports::log_level::info,
        "config_in_force",
        {{"version", std::to_string(next.version)},
            {"before", config_ ? std::to_string(config_->version) : "none"},
            {"revision", std::to_string(it.modified)},
            {"queues", std::to_string(next.queues.size())},
            {"workspaces", std::to_string(next.workspaces.size())},
            {"left_out", std::to_string(next.unreadable_entries)}});
    for (const auto& finding : next.findings)
    {
        ctx_.tel.log(ports::log_level::error,
            "config_finding",
            {{"version", std::to_string(next.version)}, {"finding", finding}});
    }
    config_ = std::move(next);
    events_.on_config(*config_);
}

void config_follower::apply_wave(const ports::stored_item& it)
{
    const auto read = formats_.read_wave(it.value);
    if (!core::is_ok(read))
    {
        log_damaged_record("wave_damaged", it, core::failure(read).message);
        return;
    }
    // A record under a key of another number would replace the wave of that number.
    if (it.key != formats_.wave_prefix + std::to_string(core::value(read).number))
    {
        log_damaged_record(
            "wave_damaged", it, "the wave number in the record does not match the key");
        return;
    }
    waves_[core::value(read).number] = core::value(read);
    std::vector<wave_request> all;
    for (const auto& [number, wave] : waves_)
    {
        all.push_back(wave);
    }
    events_.on_waves(std::move(all));
}

} // namespace camphorhitch::hosted
