#include "hosted/relay_registry.hpp"

#include "checked_json/rules.hpp"
#include "damaged_record_log.hpp"
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
        if (!(out.cpu_share > 0))
        {
            return core::error{core::error_code::invalid, "no share"};
        }
        // Connecting to a host name would wait for a resolver.
        if (const auto wrong = checked_json::check_address(out.address); !wrong.empty())
        {
            return core::error{core::error_code::invalid, "the address " + wrong};
        }
        return out;
    }
    catch (const json::exception& e)
    {
        return core::error{core::error_code::invalid, e.what()};
    }
}

double max_other_share(const std::vector<ports::relay_endpoint>& all, const std::string& member)
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
    bool advertised = false;
    ports::lease_id lease = 0;
    int renewals = 0; ///< number of renewals since the key was last written
    ports::timer_id timer = 0;
    std::unique_ptr<prefix_follower> follower;
    std::map<std::string, ports::relay_endpoint> endpoints; ///< registered relays, by key
    damaged_record_log damaged;

    void schedule(core::millis delay, void (registry_state::*next)());
    void register_relay();
    void handle_lease(const ports::kv_lease& got);
    void write_entry();
    void handle_write(const ports::commit_result& result);
    void renew();
    void handle_renewal(const ports::kv_lease& got);
    void apply_entry(const ports::stored_item& it);
    bool apply_change(const ports::stored_change& c);
    void notify();
    void follow();

    /// \return a callback that calls \p fn, and does nothing once this state is destroyed.
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

void registry_state::register_relay()
{
    if (!advertised)
    {
        return;
    }
    lease = 0;
    ctx.store.grant_lease(settings.lease,
        guarded([](registry_state& self, const ports::kv_lease& got) { self.handle_lease(got); }));
}

void registry_state::handle_lease(const ports::kv_lease& got)
{
    if (!advertised || got.status != kv_status::ok)
    {
        schedule(settings.retry_delay, &registry_state::register_relay);
        return;
    }
    lease = got.id;
    write_entry();
}

void registry_state::write_entry()
{
    renewals = 0;
    ports::store_transaction t;
    t.puts = {{relay_key(own.member), write_relay(own), lease}};
    ctx.store.commit(std::move(t),
        guarded([](registry_state& self, const ports::commit_result& result)
            { self.handle_write(result); }));
}

void registry_state::handle_write(const ports::commit_result& result)
{
    const bool ok = result.status == kv_status::ok;
    schedule(ok ? settings.renewal_interval : settings.retry_delay,
        ok ? &registry_state::renew : &registry_state::register_relay);
}

void registry_state::renew()
{
    if (!advertised)
    {
        return;
    }
    ctx.store.keep_alive(lease,
        guarded(
            [](registry_state& self, const ports::kv_lease& got) { self.handle_renewal(got); }));
}

void registry_state::handle_renewal(const ports::kv_lease& got)
{
    if (got.status == kv_status::ok && got.ttl.count() == 0)
    {
        register_relay(); // the lease has expired and the store has removed the key
        return;
    }
    if (++renewals >= settings.renewals_per_write && advertised)
    {
        write_entry();
        return;
    }
    const bool ok = got.status == kv_status::ok;
    schedule(ok ? settings.renewal_interval : settings.retry_delay, &registry_state::renew);
}

void registry_state::apply_entry(const ports::stored_item& it)
{
    const auto read = read_relay(it.key.substr(relay_prefix.size()), it.value);
    if (core::is_ok(read))
    {
        endpoints[it.key] = core::value(read);
    }
    else if (should_log(damaged, it))
    {
        ctx.tel.log(ports::log_level::warning,
            "relay_entry_damaged",
            {{"key", it.key}, {"reason", core::failure(read).message}});
    }
}

/// \return whether the change modified the list: each node rewrites its key regularly, mostly
/// without a change.
bool registry_state::apply_change(const ports::stored_change& c)
{
    const auto found = endpoints.find(c.item.key);
    const auto before = found == endpoints.end() ? std::nullopt : std::optional(found->second);
    endpoints.erase(c.item.key);
    if (!c.removed)
    {
        apply_entry(c.item);
    }
    const auto now = endpoints.find(c.item.key);
    return before != (now == endpoints.end() ? std::nullopt : std::optional(now->second));
}

void registry_state::notify()
{
    std::vector<ports::relay_endpoint> all;
    all.reserve(endpoints.size());
    for (const auto& [key, it] : endpoints)
    {
        all.push_back(it);
    }
    on_change(std::move(all));
}

void registry_state::follow()
{
    follower_settings s;
    s.prefix = relay_prefix;
    s.watch_delay = settings.min_follow_interval;
    follower_events events;
    events.on_all = [this](const std::vector<ports::stored_item>& all)
    {
        endpoints.clear();
        for (const auto& it : all)
        {
            apply_entry(it);
        }
        notify();
    };
    events.on_changes = [this](const std::vector<ports::stored_change>& all)
    {
        bool changed = false;
        for (const auto& it : all)
        {
            changed = apply_change(it) || changed;
        }
        if (changed)
        {
            notify();
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

void relay_registry::advertise(ports::relay_endpoint own)
{
    state_->own = std::move(own);
    state_->advertised = true;
    state_->register_relay();
}

void relay_registry::withdraw()
{
    auto& it = *state_;
    it.advertised = false;
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
    state_->endpoints.clear();
}

} // namespace camphorhitch::hosted
