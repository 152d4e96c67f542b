/// \file
/// The permits of the pools that this member owns, and requests to the owners of the other pools.
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

/// Permits of all pools: grants those of owned pools and requests the others from their owners.
class permit_service
{
public:
    using reply_callback = std::function<void(ports::peer_status, ports::permit_reply)>;
    using held_function = std::function<ports::held_reply(const ports::held_query&)>;

    permit_service(context& c, membership_service& members, dispatch::dispatcher_settings settings);

    /// \param held reports the permits that this process itself holds.
    void set_held(held_function held);

    /// Applies a newly adopted configuration.
    void on_config(const model::configuration& config);
    /// Takes over pools that this member now owns, and releases the others.
    void on_roster();
    /// Applies the hosts of a pool to its dispatcher.
    void on_pool_document(const model::pool_document& document);
    /// Applies a live list to all dispatchers; an unknown list is ignored.
    void on_live_list(const ports::live_list& live);
    /// Releases the permits of a process that has provably ended.
    void on_process_gone(const model::member_record& who);

    /// Requests a permit from the owner of the pool, which may be this process.
    void request_permit(const ports::permit_request& request, reply_callback done);
    /// Returns a permit to the owner. The return is repeated until the owner acknowledges it, for
    /// at most 30 s.
    void return_permit(const ports::permit_return& back);

    /// Handlers of messages from peers.
    void on_request(
        const ports::permit_request& request, std::function<void(ports::permit_reply)> done);
    void on_returns(const std::vector<ports::permit_return>& all);

    /// \return the requests that may be in flight at the host, or nothing when this member does not
    /// grant the pool's permits now.
    std::optional<dispatch::host_use> usage_of_host(
        const std::string& pool, const std::string& host) const;
    /// \return whether this process owns the pool by the adopted roster.
    bool owns(const std::string& pool) const;
    /// \return whether this member grants the pool's permits now.
    bool ready(const std::string& pool) const;
    /// \return the dispatchers of the owned pools, by pool.
    const std::map<std::string, dispatch::pool_dispatcher>& dispatchers() const;

private:
    /// A return that its owner has not acknowledged, and the time at which it is dropped.
    struct pending_return
    {
        ports::permit_return message;
        core::mono_time until;
    };

    void answer(const dispatch::permit_answers& all);
    void take_over(const model::pool_config& pool);
    void release_pool(const std::string& pool);
    bool may_still_grant(const model::member_record& who, const std::string& pool) const;
    void query_members(const std::string& pool);
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
    /// Previous owners of each pool whose reports the takeover awaits.
    std::map<std::string, membership::member_list> previous_owners_;
    std::map<std::string, model::pool_document> documents_;
    std::map<std::string, dispatch::pool_dispatcher> dispatchers_;
    std::map<std::string, ports::epoch_number> last_owned_epochs_;
    std::map<dispatch::permit_request_key, std::function<void(ports::permit_reply)>>
        waiting_replies_;
    std::vector<pending_return> returns_;
    std::uint64_t next_permit_ = 1;
    ports::timer_id timer_ = 0;
};

} // namespace camphorhitch::daemon
