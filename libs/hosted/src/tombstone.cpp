#include "tombstone.hpp"

#include "record_fields.hpp"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace camphorhitch::hosted
{

namespace
{

using nlohmann::json;

core::error damaged(const std::string& what)
{
    return {core::error_code::invalid, what};
}

} // namespace

std::string write_tombstone(const tombstone& t)
{
    return json{
        {"workspaces", t.workspaces}, {"all", t.covers_all}, {"expires_unix_ms", t.expires_unix_ms}}
        .dump();
}

core::result<tombstone> read_tombstone(const std::string& text)
{
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object() || !from.contains("workspaces") || !from.contains("all") ||
        !from.contains("expires_unix_ms"))
    {
        return damaged("not a tombstone: keys workspaces, all and expires_unix_ms expected");
    }
    tombstone out;
    if (!from.at("all").is_boolean())
    {
        return damaged("all is neither true nor false");
    }
    out.covers_all = from.at("all").get<bool>();
    const auto expires =
        whole_number_up_to(from.at("expires_unix_ms"), std::numeric_limits<std::int64_t>::max());
    if (!expires)
    {
        return damaged("expires_unix_ms is not a time");
    }
    out.expires_unix_ms = *expires;
    if (!from.at("workspaces").is_array())
    {
        return damaged("workspaces is not a list");
    }
    for (const auto& it : from.at("workspaces"))
    {
        if (!it.is_string())
        {
            return damaged("workspaces contains something other than a name");
        }
        out.workspaces.insert(it.get<std::string>());
    }
    return out;
}

bool is_covered(const tombstone& t, const std::string& owner)
{
    return t.covers_all || owner.empty() || t.workspaces.contains(owner);
}

void add_cancel(tombstone& t, const std::optional<std::string>& caller)
{
    t.covers_all = t.covers_all || !caller;
    if (caller)
    {
        t.workspaces.insert(*caller);
    }
}

bool contains_cancel(const tombstone& t, const std::optional<std::string>& caller)
{
    return t.covers_all || (caller && t.workspaces.contains(*caller));
}

struct tombstone_lease::state
{
    context ctx;
    core::millis retention;
    ports::lease_id id = 0;
    core::mono_time expires_at{}; ///< at the earliest, by the clock that runs during suspensions
    bool requested = false;       ///< a grant is under way
    std::vector<std::function<void(std::optional<ports::lease_id>)>> waiting;

    core::millis ttl() const
    {
        return 2 * retention;
    }

    /// \param spare time that must be left beyond the retention time
    bool lasts(core::millis spare) const
    {
        return id != 0 && ctx.boot_now() + retention + spare <= expires_at;
    }

    void handle_grant(core::mono_time sent_at, const ports::kv_lease& got)
    {
        requested = false;
        if (got.status == ports::kv_status::ok)
        {
            id = got.id;
            // The lease runs from the arrival of the call, which is after its sending.
            expires_at = sent_at + got.ttl;
        }
        const auto out = lasts(core::millis{0}) ? std::optional{id} : std::nullopt;
        for (const auto& it : std::exchange(waiting, {}))
        {
            it(out);
        }
    }
};

tombstone_lease::tombstone_lease(const context& c, core::millis retention)
    : state_(std::make_shared<state>())
{
    state_->ctx = c;
    state_->retention = retention;
}

void tombstone_lease::request(std::function<void(std::optional<ports::lease_id>)> done)
{
    // A lease that lasts just long enough would be too short once the tombstone is written.
    if (state_->lasts(state_->retention / 2))
    {
        done(state_->id);
        return;
    }
    state_->waiting.push_back(std::move(done));
    if (std::exchange(state_->requested, true))
    {
        return;
    }
    const auto sent_at = state_->ctx.boot_now();
    state_->ctx.store.grant_lease(state_->ttl(),
        [weak = std::weak_ptr{state_}, sent_at](const ports::kv_lease& got)
        {
            if (const auto self = weak.lock())
            {
                self->handle_grant(sent_at, got);
            }
        });
}

bool tombstone_lease::lasts(ports::lease_id id) const
{
    return id == state_->id && state_->lasts(core::millis{0});
}

void tombstone_lease::discard(ports::lease_id id)
{
    if (id == state_->id)
    {
        state_->id = 0;
    }
}

core::millis tombstone_lease::max_time() const
{
    return state_->ttl();
}

} // namespace camphorhitch::hosted
