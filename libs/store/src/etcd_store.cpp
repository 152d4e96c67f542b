#include "store/etcd_store.hpp"

#include "core/invariant.hpp"
#include "http/address.hpp"
#include "store_state.hpp"

#include <optional>
#include <utility>

namespace camphorhitch::store
{

namespace
{

/// \return a callback that parses the answer of a successful call and passes the result to \p to.
/// \param read parses the answer's text; returns nothing when the text is invalid
template <class Result, class Read>
store_state::answer_fn deliver(std::function<void(Result)> to, effect what, Read read)
{
    return [to = std::move(to), what, read](
               ports::kv_status status, const ports::http_outcome& outcome)
    {
        std::optional<Result> result;
        if (status == ports::kv_status::ok)
        {
            result = read(outcome.response.body);
            status = invalid_answer_status(what); // used only when there is no result
        }
        if (!result)
        {
            result.emplace();
            result->status = status;
        }
        to(std::move(*result));
    };
}

void get(store_state& it, const std::string& key, std::function<void(ports::kv_read)> to)
{
    it.call(call_kind::range,
        "/v3/kv/range",
        key_body(key),
        effect::none,
        deliver(std::move(to), effect::none, read_range));
}

void range(store_state& it, const std::string& prefix, std::function<void(ports::kv_read)> to)
{
    it.call(call_kind::range,
        "/v3/kv/range",
        prefix_body(prefix),
        effect::none,
        deliver(std::move(to), effect::none, read_range));
}

void transact(
    store_state& it, call_kind kind, std::string body, std::function<void(ports::kv_write)> to)
{
    it.call(kind,
        "/v3/kv/txn",
        std::move(body),
        effect::write,
        deliver(std::move(to), effect::write, read_transaction));
}

void check(store_state& it,
    const std::string& key,
    ports::revision expected,
    std::function<void(ports::kv_write)> to)
{
    it.call(call_kind::check,
        "/v3/kv/txn",
        check_body(key, expected),
        effect::none,
        deliver(std::move(to), effect::none, read_check));
}

void grant(store_state& it, core::millis ttl, std::function<void(ports::kv_lease)> to)
{
    it.call(call_kind::grant,
        "/v3/lease/grant",
        grant_body(ttl),
        effect::write,
        deliver(std::move(to), effect::write, read_grant));
}

void keep_alive(store_state& it, ports::lease_id id, std::function<void(ports::kv_lease)> to)
{
    const auto finish = deliver(to, effect::write, read_keep_alive);
    const auto then = [finish, to = std::move(to), id](
                          ports::kv_status status, const ports::http_outcome& outcome)
    {
        if (is_lease_not_found(outcome))
        {
            to({ports::kv_status::ok, id, core::millis{0}}); // the lease has expired
            return;
        }
        finish(status, outcome);
    };
    it.call(call_kind::keep_alive, "/v3/lease/keepalive", lease_body(id), effect::write, then);
}

void revoke(store_state& it, ports::lease_id id, std::function<void(ports::kv_status)> to)
{
    it.call(call_kind::revoke,
        "/v3/lease/revoke",
        lease_body(id),
        effect::write,
        [to = std::move(to)](ports::kv_status status, const ports::http_outcome&) { to(status); });
}

ports::watch_id watch(store_state& it,
    const std::string& prefix,
    ports::revision from,
    std::function<void(std::vector<ports::kv_event>)> on_events,
    std::function<void()> on_end)
{
    watch_state made;
    made.on_events = std::move(on_events);
    made.on_end = std::move(on_end);
    return it.watch(prefix, from, std::move(made));
}

} // namespace

etcd_store::etcd_store(std::unique_ptr<store_state> state) : state_(std::move(state))
{
}
etcd_store::etcd_store(etcd_store&&) noexcept = default;
etcd_store& etcd_store::operator=(etcd_store&&) noexcept = default;
etcd_store::~etcd_store() = default;

const call_counts& etcd_store::counts(call_kind kind) const
{
    return state_->counts_of(kind);
}

ports::key_value etcd_store::port() const
{
    auto& it = *state_;
    ports::key_value out;
    out.get = [&it](const std::string& key, auto to)
    {
        get(it, key, std::move(to));
    };
    out.range = [&it](const std::string& prefix, auto to)
    {
        range(it, prefix, std::move(to));
    };
    out.check = [&it](const std::string& key, ports::revision expected, auto to)
    {
        check(it, key, expected, std::move(to));
    };
    out.put_if = [&it](const std::string& key,
                     const std::string& value,
                     ports::revision expected,
                     ports::lease_id lease,
                     auto to)
    {
        transact(it, call_kind::put, put_body(key, value, expected, lease), std::move(to));
    };
    out.delete_if = [&it](const std::string& key, ports::revision expected, auto to)
    {
        transact(it, call_kind::remove, delete_body(key, expected), std::move(to));
    };
    out.grant_lease = [&it](core::millis ttl, auto to)
    {
        grant(it, ttl, std::move(to));
    };
    out.keep_alive = [&it](ports::lease_id id, auto to)
    {
        keep_alive(it, id, std::move(to));
    };
    out.revoke_lease = [&it](ports::lease_id id, auto to)
    {
        revoke(it, id, std::move(to));
    };
    out.watch = [&it](const std::string& prefix, ports::revision from, auto on_events, auto on_end)
    {
        return watch(it, prefix, from, std::move(on_events), std::move(on_end));
    };
    out.cancel_watch = [&it](ports::watch_id id)
    {
        it.cancel_watch(id);
    };
    return out;
}

etcd_store_builder& etcd_store_builder::client(http::client& it)
{
    client_ = &it;
    return *this;
}

etcd_store_builder& etcd_store_builder::address(std::string text)
{
    address_ = std::move(text);
    return *this;
}

etcd_store_builder& etcd_store_builder::token(std::string text)
{
    token_ = std::move(text);
    return *this;
}

etcd_store_builder& etcd_store_builder::extra_fields(ports::http_fields it)
{
    extra_fields_ = std::move(it);
    return *this;
}

etcd_store_builder& etcd_store_builder::timeout(core::millis limit)
{
    timeout_ = limit;
    return *this;
}

etcd_store_builder& etcd_store_builder::watch_idle_timeout(core::millis limit)
{
    watch_idle_timeout_ = limit;
    return *this;
}

core::result<etcd_store> etcd_store_builder::build() const
{
    core::require(client_ != nullptr, "a store has a client");
    if (!http::is_address(address_))
    {
        return core::error{
            core::error_code::invalid, "'" + address_ + "' is not an address of the form ip:port"};
    }
    settings s{address_, extra_fields_, timeout_, watch_idle_timeout_};
    s.fields.emplace_back("Content-Type", "application/json");
    if (!token_.empty())
    {
        s.fields.emplace_back("Authorization", token_);
    }
    return etcd_store(std::make_unique<store_state>(*client_, std::move(s)));
}

} // namespace camphorhitch::store
