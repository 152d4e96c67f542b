#include "hosted/config_follower.hpp"

#include <utility>

namespace camphorhitch::hosted
{

config_follower::config_follower(context c, const formats& f, config_events e)
    : ctx_(std::move(c)), formats_(f), events_(std::move(e))
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

void config_follower::see_config(const ports::stored_item& it)
{
    auto read = formats_.read_config(it.value);
    if (!core::is_ok(read))
    {
        ctx_.tel.log(ports::log_level::error,
            "config_damaged",
            {{"revision", std::to_string(it.modified)}, {"reason", core::failure(read).message}});
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
            {"queues", std::to_string(next.queues.size())}});
    config_ = std::move(next);
    events_.on_config(*config_);
}

void config_follower::see_wave(const ports::stored_item& it)
{
    const auto read = formats_.read_wave(it.value);
    if (!core::is_ok(read))
    {
        ctx_.tel.log(ports::log_level::error,
            "wave_damaged",
            {{"key", it.key}, {"reason", core::failure(read).message}});
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
