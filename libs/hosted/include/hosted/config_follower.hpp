/// \file
/// Follows the entries that the platform's operators write: the configuration and the requested
/// maintenance waves.
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

/// Calls on changes of the operators' entries.
struct config_events
{
    /// Called with each configuration that comes into force.
    std::function<void(const fleet_config&)> on_config;
    /// Called with all maintenance waves requested so far.
    std::function<void(std::vector<wave_request>)> on_waves;
};

struct damaged_record_log;

/// Follows the operators' entries. Entries that cannot be read are logged and change nothing.
class config_follower
{
public:
    /// \param f must outlive the follower
    config_follower(context c, const formats& f, config_events e);
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;
    ~config_follower();

    void start();

    /// \return the configuration in force, or nullptr while none has been read.
    const fleet_config* config() const;

    /// \return when the store last answered a read or watch of the operators' entries.
    core::mono_time last_answer_at() const;

private:
    void apply_item(const ports::stored_item& it);
    void apply_config(const ports::stored_item& it);
    void apply_wave(const ports::stored_item& it);
    void log_damaged_record(
        const char* event, const ports::stored_item& it, const std::string& reason);

    context ctx_;
    const formats& formats_;
    config_events events_;
    std::optional<fleet_config> config_;
    std::map<std::int64_t, wave_request> waves_;
    std::unique_ptr<damaged_record_log> damaged_records_;
    std::unique_ptr<prefix_follower> follower_;
};

} // namespace camphorhitch::hosted
