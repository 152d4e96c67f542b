#include "hosted/config_follower.hpp"

#include "damage_notes.hpp"

#include <utility>

namespace camphorhitch::hosted
{

config_follower::config_follower(context c, const formats& f, config_events e)
    : ctx_(std::move(c)), formats_(f), events_(std::move(e)),
      damaged_(std::make_unique<damage_notes>())
{
    follower_settings settings;
    settings.prefix = formats_.operator_prefix;
    follower_events seen;
    seen.on_all = [this](const std::vector<ports::stored_item>& all)
    {
        for (const auto& it : all)
        {
            see(it);
        }
    };
    seen.on_changes = [this](const std::vector<ports::stored_change>& all)
    {
        for (const auto& it : all)
        {
            if (!it.removed)
            {
                see(it.item);
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

core::mono_time config_follower::last_answer() const
{
    return follower_->last_answer();
}

void config_follower::see(const ports::stored_item& it)
{
    if (it.key == formats_.config_key)
    {
        see_config(it);
    }
    else if (it.key.starts_with(formats_.wave_prefix))
    {
        see_wave(it);
    }
}

void config_follower::tell_damage(
    const char* event, const ports::stored_item& it, const std::string& reason)
{
    if (is_news(*damaged_, it))
    {
        ctx_.tel.log(ports::log_level::error,
            event,
            {{"key", it.key}, {"revision", std::to_string(it.modified)}, {"reason", reason}});
    }
}

/// One that can't be read leaves the one in force, with which callers go on being served.
void config_follower::see_config(const ports::stored_item& it)
{
    auto read = formats_.read_config(it.value);
    if (!core::is_ok(read))
    {
        tell_damage("config_damaged", it, core::failure(read).message);
        return;
    }
    auto& next = core::value(read);
    // Never back: a read that began before a change may answer after it.
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
            {"left_out", std::to_string(next.left_out)}});
    config_ = std::move(next);
    events_.on_config(*config_);
}

void config_follower::see_wave(const ports::stored_item& it)
{
    const auto read = formats_.read_wave(it.value);
    if (!core::is_ok(read))
    {
        tell_damage("wave_damaged", it, core::failure(read).message);
        return;
    }
    // Under another key it would stand in for the wave of that number.
    if (it.key != formats_.wave_prefix + std::to_string(core::value(read).number))
    {
        tell_damage("wave_damaged", it, "its number is not the key's");
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
