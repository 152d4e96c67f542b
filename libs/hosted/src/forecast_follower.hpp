/// \file
/// Keeps the newest forecast digest that the coordinator has published, and its age. Callers'
/// submissions cause the reads and never wait for them.
#pragma once

#include "forecast_digest.hpp"
#include "hosted/context.hpp"

#include <memory>
#include <optional>

namespace camphorhitch::hosted
{

struct forecast_follower_settings
{
    core::millis busy_interval{500};  ///< between two reads while jobs of some pool wait
    core::millis idle_interval{2000}; ///< between two reads otherwise
};

struct forecast_follower_state;

class forecast_follower
{
public:
    forecast_follower(context c, forecast_follower_settings s);
    forecast_follower(const forecast_follower&) = delete;
    forecast_follower& operator=(const forecast_follower&) = delete;
    ~forecast_follower();

    /// Starts a read if one is due. Called at each submission.
    void request();

    /// \return the digest of the latest read; without pools if there was none or it was damaged.
    const forecast_digest& digest() const;

    /// \return upper bound of the time since the digest was written, by this node's boot clock: the
    /// time since the sending of the last read that still showed the previous revision. Nothing if
    /// no read has shown another revision.
    std::optional<core::millis> age() const;

private:
    std::shared_ptr<forecast_follower_state> state_;
};

} // namespace camphorhitch::hosted
