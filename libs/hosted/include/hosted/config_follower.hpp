/// \file
/// Follows what the platform's operators write: the configuration in force, and the waves of
/// maintenance that they ask for.
#pragma once

#include "hosted/context.hpp"
#include "hosted/formats.hpp"
#include "hosted/prefix_follower.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace camphorhitch::hosted
{

struct config_events
{
    std::function<void(const fleet_config&)> on_config;
    /// All waves that were asked for so far.
    std::function<void(std::vector<wave_request>)> on_waves;
};

struct damage_notes;

class config_follower
{
public:
    /// \param f outlives the follower
    config_follower(context c, const formats& f, config_events e);
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;
    ~config_follower();

    void start();

    /// \return the configuration in force, or nullptr while none is known.
    const fleet_config* config() const;

    /// \return when the store last answered.
    core::mono_time last_answer() const;

private:
    void see(const ports::stored_item& it);
    void see_config(const ports::stored_item& it);
    void see_wave(const ports::stored_item& it);
    void tell_damage(const char* event, const ports::stored_item& it, const std::string& reason);

    context ctx_;
    const formats& formats_;
    config_events events_;
    std::optional<fleet_config> config_;
    std::map<std::int64_t, wave_request> waves_;
    std::unique_ptr<damage_notes> damaged_;
    std::unique_ptr<prefix_follower> follower_;
};

} // namespace camphorhitch::hosted
