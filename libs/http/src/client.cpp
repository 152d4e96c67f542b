#include "http/client.hpp"

#include "client_state.hpp"
#include "core/invariant.hpp"

#include <utility>

namespace camphorhitch::http
{

client::client(std::unique_ptr<client_state> state) : state_(std::move(state))
{
}
client::client(client&&) noexcept = default;
client& client::operator=(client&&) noexcept = default;
client::~client() = default;

ports::http_client client::port() const
{
    auto* const state = state_.get();
    ports::http_client out;
    out.send = [state](ports::http_call call, std::function<void(ports::http_outcome)> on_end)
    {
        auto it = std::make_unique<transfer>();
        it->call = std::move(call);
        it->on_end = std::move(on_end);
        return state->start(std::move(it));
    };
    out.cancel = [state](ports::call_id id)
    {
        state->cancel(id);
    };
    return out;
}

ports::call_id client::stream(stream_call call)
{
    auto it = std::make_unique<transfer>();
    it->is_stream = true;
    it->call = std::move(call.call);
    it->idle_timeout = call.idle_timeout;
    it->on_chunk = std::move(call.on_chunk);
    it->on_end = std::move(call.on_end);
    return state_->start(std::move(it));
}

client_builder& client_builder::loop(reactor::event_loop& it)
{
    loop_ = &it;
    return *this;
}

client_builder& client_builder::limits(client_limits it)
{
    limits_ = it;
    return *this;
}

client client_builder::build() const
{
    core::require(loop_ != nullptr, "a client has a loop");
    return client(std::make_unique<client_state>(*loop_, limits_));
}

} // namespace camphorhitch::http
