#include "dispatch/dispatcher.hpp"

#include <utility>

namespace camphorhitch::dispatch
{

dispatcher_builder& dispatcher_builder::pool(model::pool_config it)
{
    built_.pool = std::move(it);
    return *this;
}

dispatcher_builder& dispatcher_builder::settings(dispatcher_settings it)
{
    built_.settings = it;
    return *this;
}

dispatcher_builder& dispatcher_builder::epoch(ports::epoch_number it)
{
    built_.epoch = it;
    return *this;
}

dispatcher_builder& dispatcher_builder::first_permit(std::uint64_t it)
{
    built_.next_permit = it;
    return *this;
}

std::variant<pool_dispatcher, core::findings> dispatcher_builder::build() const
{
    auto wrong = check(built_.settings, "dispatcher settings");
    if (built_.pool.name.empty())
    {
        wrong.push_back({{"dispatcher", "", 0, 0}, "the pool has no name", ""});
    }
    if (built_.next_permit == 0)
    {
        wrong.push_back({{"dispatcher", "", 0, 0}, "permit 0 means none", ""});
    }
    if (!wrong.empty())
    {
        return wrong;
    }
    auto out = built_;
    out.retries.tokens = out.settings.retry_burst;
    return out;
}

} // namespace camphorhitch::dispatch
