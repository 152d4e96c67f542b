/// \file
/// The permits of the pools that this member owns, and the way to the owner of every other pool.
#pragma once

#include "context.hpp"
#include "dispatch/dispatcher.hpp"
#include "dispatch/take_over.hpp"
#include "membership_service.hpp"
#include "model/config.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

class permit_service
{
public:
    using reply_callback = std::function<void(ports::peer_status, ports::permit_reply)>;
    using held_function = std::function<ports::held_reply(const ports::held_query&)>;

    permit_service(context& c, membership_service& members, dispatch::dispatcher_settings settings);

    /// \param held answers for the permits that this very process holds.
    void set_held(held_function held);

    void on_config(const model::configuration& config);
    void on_roster();
    void on_pool_document(const model::pool_document& document);
    void on_live_list(const ports::live_list& live);
    void on_process_gone(const model::member_record& who);

    /// Asks the owner of the pool, here or elsewhere.
    void ask(const ports::permit_request& request, reply_callback done);
    /// Returns a permit to the owner; repeated until it was heard or can't matter any more.
    void give_back(const ports::permit_return& back);

    /// A peer's messages.
    void on_request(
        const ports::permit_request& request, std::function<void(ports::permit_reply)> done);
    void on_returns(const std::vector<ports::permit_return>& all);

    /// \return what may be in flight at the host, or nothing when this member can't tell.
    std::optional<dispatch::host_use> use_of(
        const std::string& pool, const std::string& host) const;
    bool owns(const std::string& pool) const;
    /// \return whether the pool's permits are granted here now.
    bool ready(const std::string& pool) const;
    const std::map<std::string, dispatch::pool_dispatcher>& dispatchers() const;

private:
    struct pending_return
    {
        ports::permit_return message;
        core::mono_time until;
    };

    void answer(const dispatch::permit_answers& all);
    void take_over(const model::pool_config& pool);
    void drop(const std::string& pool);
    bool may_still_grant(const model::member_record& who, const std::string& pool) const;
    void ask_members(const std::string& pool);
    void tick();
    void send_returns();
    const model::member_record* owner(const std::string& pool) const;

    context& context_;
    membership_service& members_;
    dispatch::dispatcher_settings settings_;
    held_function held_;
    model::configuration config_;
    ports::live_list live_;
    std::map<std::string, core::mono_time> taken_over_at_; ///< by pool
    /// Former owners of a pool that we wait for, by pool.
    std::map<std::string, membership::member_list> former_owners_;
    std::map<std::string, model::pool_document> documents_;
    std::map<std::string, dispatch::pool_dispatcher> dispatchers_;
    std::map<std::string, ports::epoch_number> last_owned_;
    std::map<dispatch::permit_request_key, std::function<void(ports::permit_reply)>> waiting_;
    std::vector<pending_return> returns_;
    std::uint64_t next_permit_ = 1;
    ports::timer_id timer_ = 0;
};

} // namespace camphorhitch::daemon
