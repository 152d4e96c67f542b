#include "hosted/relay_registry.hpp"

#include "hosted/keys.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace camphorhitch::hosted
{

using nlohmann::json;
using ports::kv_status;

std::string write_relay(const ports::relay_endpoint& it)
{
    return json{{"address", it.address}, {"zone", it.zone}, {"share", it.cpu_share}}.dump();
}

core::result<ports::relay_endpoint> read_relay(const std::string& member, const std::string& text)
{
    const auto from = json::parse(text, nullptr, false);
    try
    {
        ports::relay_endpoint out;
        out.member = member;
        from.at("address").get_to(out.address);
        from.at("zone").get_to(out.zone);
        from.at("share").get_to(out.cpu_share);
        if (out.address.empty() || !(out.cpu_share > 0))
        {
            return core::error{core::error_code::invalid, "no address or no share"};
        }
        return out;
    }
    catch (const json::exception& e)
    {
        return core::error{core::error_code::invalid, e.what()};
    }
}

double best_share_but(const std::vector<ports::relay_endpoint>& all, const std::string& member)
{
    double best = 0;
    for (const auto& it : all)
    {
        best = it.member == member ? best : std::max(best, it.cpu_share);
    }
    return best;
}

struct registry_state : std::enable_shared_from_this<registry_state>
{
    context ctx;
    registry_settings settings;
    relay_registry::listener on_change;
    ports::relay_endpoint own;
    bool offered = false;
    ports::lease_id lease = 0;
    int renewals = 0; ///< since the key was written
    ports::timer_id timer = 0;
    std::unique_ptr<prefix_follower> follower;
    std::map<std::string, ports::relay_endpoint> seen; ///< by key

    void schedule(core::millis delay, void (registry_state::*next)());
    void register_own();
    void take_lease(const ports::kv_lease& got);
    void write_own();
    void take_write(const ports::commit_result& result);
    void renew();
    void take_renewal(const ports::kv_lease& got);
    void see(const ports::stored_item& it);
    bool take_change(const ports::stored_change& c);
    void tell();
    void follow();

    /// \return \p fn as a callback that outlives this state.
    template <class Fn>
    auto guarded(Fn fn)
    {
        return [weak = weak_from_this(), fn](const auto&... args)
        {
            if (const auto self = weak.lock())
            {
                fn(*self, args...);
            }
        };
    }
};

void registry_state::schedule(core::millis delay, void (registry_state::*next)())
{
    ctx.time.cancel(timer);
    timer = ctx.time.after(delay, guarded([next](registry_state& self) { (self.*next)(); }));
}

void registry_state::register_own()
{
    if (!offered)
    {
        return;
    }
    lease = 0;
    ctx.store.grant_lease(settings.lease,
        guarded([](registry_state& self, const ports::kv_lease& got) { self.take_lease(got); }));
}

void registry_state::take_lease(const ports::kv_lease& got)
{
    if (!offered || got.status != kv_status::ok)
    {
        schedule(settings.retry, &registry_state::register_own);
        return;
    }
    lease = got.id;
    write_own();
}

void registry_state::write_own()
{
    renewals = 0;
    ports::store_transaction t;
    t.puts = {{relay_key(own.member), write_relay(own), lease}};
    ctx.store.commit(std::move(t),
        guarded([](registry_state& self, const ports::commit_result& result)
            { self.take_write(result); }));
}

void registry_state::take_write(const ports::commit_result& result)
{
    const bool ok = result.status == kv_status::ok;
    schedule(ok ? settings.renew_every : settings.retry,
        ok ? &registry_state::renew : &registry_state::register_own);
}

void registry_state::renew()
{
    if (!offered)
    {
        return;
    }
    ctx.store.keep_alive(lease,
        guarded([](registry_state& self, const ports::kv_lease& got) { self.take_renewal(got); }));
}

void registry_state::take_renewal(const ports::kv_lease& got)
{
    if (got.status == kv_status::ok && got.ttl.count() == 0)
    {
        register_own(); // the lease has lapsed, and the key with it
        return;
    }
    if (++renewals >= settings.renewals_a_write && offered)
    {
        write_own();
        return;
    }
    const bool ok = got.status == kv_status::ok;
    schedule(ok ? settings.renew_every : settings.retry, &registry_state::renew);
}

void registry_state::see(const ports::stored_item& it)
{
    const auto read = read_relay(it.key.substr(relay_prefix.size()), it.value);
    if (!core::is_ok(read))
    {
        ctx.tel.log(ports::log_level::warning,
            "relay_entry_damaged",
            {{"key", it.key}, {"reason", core::failure(read).message}});
        return;
    }
    seen[it.key] = core::value(read);
}

/// \return whether it changed what is known: a node writes its key again and again as it is.
bool registry_state::take_change(const ports::stored_change& c)
{
    const auto found = seen.find(c.item.key);
    const auto before = found == seen.end() ? std::nullopt : std::optional(found->second);
    seen.erase(c.item.key);
    if (!c.removed)
    {
        see(c.item);
    }
    const auto now = seen.find(c.item.key);
    return before != (now == seen.end() ? std::nullopt : std::optional(now->second));
}

void registry_state::tell()
{
    std::vector<ports::relay_endpoint> all;
    all.reserve(seen.size());
    for (const auto& [key, it] : seen)
    {
        all.push_back(it);
    }
    on_change(std::move(all));
}

void registry_state::follow()
{
    follower_settings s;
    s.prefix = relay_prefix;
    s.watch_delay = settings.follow_pause;
    follower_events events;
    events.on_all = [this](const std::vector<ports::stored_item>& all)
    {
        seen.clear();
        for (const auto& it : all)
        {
            see(it);
        }
        tell();
    };
    events.on_changes = [this](const std::vector<ports::stored_change>& all)
    {
        bool changed = false;
        for (const auto& it : all)
        {
            changed = take_change(it) || changed;
        }
        if (changed)
        {
            tell();
        }
    };
    follower = std::make_unique<prefix_follower>(ctx, s, std::move(events));
    follower->start();
}

relay_registry::relay_registry(context c, registry_settings s, listener on_change)
    : state_(std::make_shared<registry_state>())
{
    state_->ctx = std::move(c);
    state_->settings = s;
    state_->on_change = std::move(on_change);
}

relay_registry::~relay_registry()
{
    state_->ctx.time.cancel(state_->timer);
    state_->follower.reset();
}

void relay_registry::offer(ports::relay_endpoint own)
{
    state_->own = std::move(own);
    state_->offered = true;
    state_->register_own();
}

void relay_registry::withdraw()
{
    auto& it = *state_;
    it.offered = false;
    it.ctx.time.cancel(it.timer);
    if (it.lease != 0)
    {
        it.ctx.store.end_lease(std::exchange(it.lease, 0), [](kv_status) {});
    }
}

void relay_registry::follow()
{
    state_->follow();
}

void relay_registry::unfollow()
{
    state_->follower.reset();
    state_->seen.clear();
}

} // namespace camphorhitch::hosted
