#include "http/server.hpp"

#include "core/invariant.hpp"
#include "server_state.hpp"

#include <utility>

namespace camphorhitch::http
{

server::server(std::unique_ptr<server_state> state) : state_(std::move(state))
{
}
server::server(server&&) noexcept = default;
server& server::operator=(server&&) noexcept = default;
server::~server() = default;

ports::http_server server::port() const
{
    auto* const it = state_.get();
    ports::http_server out;
    out.respond = [it](ports::exchange_id id, ports::http_response response)
    {
        it->respond(id, std::move(response));
    };
    out.stop_accepting = [it]
    {
        it->stop_accepting();
    };
    out.open_exchanges = [it]
    {
        return it->exchanges_in_progress;
    };
    out.port = it->port;
    return out;
}

server_builder& server_builder::loop(reactor::event_loop& it)
{
    loop_ = &it;
    return *this;
}

server_builder& server_builder::address(std::string text)
{
    address_ = std::move(text);
    return *this;
}

server_builder& server_builder::events(ports::http_events it)
{
    events_ = std::move(it);
    return *this;
}

server_builder& server_builder::limits(server_limits it)
{
    limits_ = it;
    return *this;
}

server_builder& server_builder::extra_fields(ports::http_fields it)
{
    extra_fields_ = std::move(it);
    return *this;
}

core::result<server> server_builder::build() const
{
    core::require(loop_ != nullptr, "a server has a loop");
    core::require(events_.on_request && events_.on_gone, "a server has both of its events");
    auto state = std::make_unique<server_state>(*loop_, events_, limits_, extra_fields_);
    const auto fault = state->start(address_);
    if (!fault.empty())
    {
        return core::error{core::error_code::unavailable, fault};
    }
    return server(std::move(state));
}

} // namespace camphorhitch::http
