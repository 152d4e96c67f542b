#include "forecast_follower.hpp"

#include "hosted/keys.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace camphorhitch::hosted
{

struct forecast_follower_state
{
    context ctx;
    forecast_follower_settings settings;
    forecast_digest digest;
    ports::revision revision = 0; ///< of the digest; 0: the key did not exist
    bool reading = false;
    std::optional<core::mono_time> requested_at; ///< when the latest read was sent
    /// When the latest successful read was sent.
    std::optional<core::mono_time> shown_at;
    /// When the latest read that showed the previous revision was sent.
    std::optional<core::mono_time> previous_shown_at;

    bool is_due() const;
    void apply(core::mono_time sent_at, const ports::item_read& read);
    void replace_digest(const std::optional<ports::stored_item>& item);
};

bool forecast_follower_state::is_due() const
{
    const bool busy = std::any_of(digest.pools.begin(),
        digest.pools.end(),
        [](const auto& it) { return it.second.wait > core::millis{0}; });
    const auto interval = busy ? settings.busy_interval : settings.idle_interval;
    return !reading && (!requested_at || ctx.boot_now() - *requested_at >= interval);
}

void forecast_follower_state::apply(core::mono_time sent_at, const ports::item_read& read)
{
    reading = false;
    if (read.status != ports::kv_status::ok)
    {
        return; // the digest stays and ages
    }
    const auto found = read.item ? read.item->modified : 0;
    if (found != revision || !shown_at)
    {
        previous_shown_at = shown_at;
        revision = found;
        replace_digest(read.item);
    }
    shown_at = sent_at;
}

void forecast_follower_state::replace_digest(const std::optional<ports::stored_item>& item)
{
    digest = {};
    if (!item)
    {
        return;
    }
    auto next = read_forecast_digest(item->value);
    if (core::is_ok(next))
    {
        digest = std::move(core::value(next));
        return;
    }
    ctx.tel.log(ports::log_level::error,
        "record_damaged",
        {{"key", forecast_key},
            {"revision", std::to_string(item->modified)},
            {"reason", core::failure(next).message}});
}

forecast_follower::forecast_follower(context c, forecast_follower_settings s)
    : state_(std::make_shared<forecast_follower_state>())
{
    state_->ctx = std::move(c);
    state_->settings = s;
}

forecast_follower::~forecast_follower() = default;

void forecast_follower::request()
{
    if (!state_->is_due())
    {
        return;
    }
    const auto sent_at = state_->ctx.boot_now();
    state_->requested_at = sent_at;
    state_->reading = true;
    state_->ctx.store.get(forecast_key,
        ports::read_freshness::newest,
        [weak = std::weak_ptr{state_}, sent_at](const ports::item_read& read)
        {
            if (const auto self = weak.lock())
            {
                self->apply(sent_at, read);
            }
        });
}

const forecast_digest& forecast_follower::digest() const
{
    return state_->digest;
}

std::optional<core::millis> forecast_follower::age() const
{
    if (!state_->previous_shown_at)
    {
        return {};
    }
    return std::chrono::ceil<core::millis>(state_->ctx.boot_now() - *state_->previous_shown_at);
}

} // namespace camphorhitch::hosted
