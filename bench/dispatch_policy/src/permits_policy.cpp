#include "dispatch/dispatcher.hpp"
#include "dispatch/request_flow.hpp"
#include "policies.hpp"

#include <limits>
#include <map>
#include <memory>
#include <utility>

namespace camphorhitch::bench
{

namespace
{

using namespace camphorhitch::dispatch;

constexpr const char* pool_name = "quotes";

std::string zone_of(int index, const load_settings& load)
{
    return "z" + std::to_string(index % load.zones);
}

model::pool_config pool_for(const load_settings& load)
{
    model::pool_config out;
    out.name = pool_name;
    out.quick.deadline = load.quick_deadline;
    out.long_running.deadline = load.long_deadline;
    return out;
}

struct request_state
{
    offered request;
    request_flow flow;
    core::mono_time timer = core::mono_time::max();
};

/// Senders and pool owners connected by delayed messages. There is one owner for all senders, or
/// one for each sender.
class permit_simulation
{
public:
    permit_simulation(const load_settings& load, const sender_settings& settings, bool own_subsets)
        : simulation_{load}, subsets_{own_subsets}
    {
        const int owners = own_subsets ? load.senders : 1;
        for (int i = 0; i < owners; ++i)
        {
            auto built = dispatcher_builder{}.pool(pool_for(load)).epoch(1).build();
            owners_.push_back(std::get<pool_dispatcher>(std::move(built)));
            ticks_.push_back(core::mono_time::max());
            set_hosts(owners_.back(), hosts_of(i), {}, {});
        }
        for (int i = 0; i < load.senders; ++i)
        {
            request_sender it;
            it.member = std::to_string(i);
            it.incarnation = "1";
            it.zone = zone_of(i, load);
            it.epoch = 1;
            it.settings = settings;
            senders_.push_back(it);
        }
    }

    run_result run(const std::string& name)
    {
        return offer_load(simulation_, name, [this](const offered& it) { start_request(it); });
    }

private:
    model::pool_document hosts_of(int owner) const
    {
        const auto& load = simulation_.settings;
        model::pool_document out;
        for (int i = 0; i < load.targets; ++i)
        {
            model::host_record it;
            it.id = std::to_string(i);
            it.zone = zone_of(i, load);
            it.target = it.id;
            it.slots = subsets_ ? slots_in_subset(owner, i) : load.slots;
            out.hosts.push_back(it);
        }
        return out;
    }

    /// \return the number of the target's slots in a sender's subset. The sequence of all slots is
    /// divided into one contiguous part per sender.
    int slots_in_subset(int owner, int target_index) const
    {
        const auto& load = simulation_.settings;
        const int all = load.targets * load.slots;
        int n = 0;
        for (int i = 0; i < load.slots; ++i)
        {
            n += (target_index * load.slots + i) * load.senders / all == owner ? 1 : 0;
        }
        return n;
    }

    void start_request(const offered& request)
    {
        const auto id = next_++;
        auto& it = requests_[id];
        it.request = request;
        caller_request flow_request;
        flow_request.pool = pool_name;
        flow_request.klass = request.klass;
        flow_request.idempotent = request.idempotent;
        flow_request.time_left = request.deadline;
        execute_all(id, start_flow(it.flow, sender_of(it), flow_request, simulation_.events.now()));
    }

    request_sender& sender_of(const request_state& it)
    {
        return senders_[static_cast<std::size_t>(it.request.sender)];
    }

    std::size_t owner_of(int sender) const
    {
        return subsets_ ? static_cast<std::size_t>(sender) : 0;
    }

    core::micros delay_to_owner(int sender) const
    {
        const bool itself = subsets_ || sender == 0;
        return itself ? core::micros{0} : simulation_.settings.message_delay;
    }

    void execute_all(std::uint64_t id, const flow_actions& actions)
    {
        for (const auto& it : actions)
        {
            std::visit([&](const auto& action) { execute(id, action); }, it);
        }
        const auto at = requests_.find(id);
        if (at != requests_.end() && has_ended(at->second.flow))
        {
            requests_.erase(at);
            return;
        }
        if (at != requests_.end())
        {
            set_timer(id, at->second);
        }
    }

    void set_timer(std::uint64_t id, request_state& it)
    {
        const auto when = next_timer(it.flow);
        if (when == it.timer || when == core::mono_time::max())
        {
            return;
        }
        it.timer = when;
        simulation_.events.at(when,
            [this, id]
            {
                const auto at = requests_.find(id);
                if (at != requests_.end())
                {
                    at->second.timer = core::mono_time::max();
                    execute_all(id,
                        on_timer(at->second.flow, sender_of(at->second), simulation_.events.now()));
                }
            });
    }

    void execute(std::uint64_t id, const request_permit& action)
    {
        const auto sender = requests_.at(id).request.sender;
        permit_requests_[{std::to_string(sender), "1", action.message.request}] = id;
        simulation_.events.after(delay_to_owner(sender),
            [this, sender, message = action.message]
            {
                const auto owner = owner_of(sender);
                deliver(owner, on_request(owners_[owner], message, simulation_.events.now()));
            });
    }

    void execute(std::uint64_t id, const return_permit& action)
    {
        const auto sender = requests_.at(id).request.sender;
        simulation_.events.after(delay_to_owner(sender),
            [this, sender, message = action.message]
            {
                const auto owner = owner_of(sender);
                deliver(owner, on_return(owners_[owner], message, simulation_.events.now()));
            });
    }

    void execute(std::uint64_t id, const send_request& action)
    {
        const auto& it = requests_.at(id);
        const auto index = std::stoi(action.host);
        const auto permit_request = it.flow.permit_request_id;
        simulation_.count_send(index);
        simulation_.events.after(action.total_timeout,
            [this, id, permit_request]
            { end_call(id, permit_request, ports::call_end::interrupted, {}); });
        if (simulation_.is_lost(action.fresh_connection))
        {
            return;
        }
        simulation_.events.after(simulation_.settings.message_delay,
            [this, id, permit_request, index, service = it.request.service]
            {
                simulation_.targets[static_cast<std::size_t>(index)].submit(service,
                    [this, id, permit_request](target_result result)
                    {
                        simulation_.events.after(simulation_.settings.message_delay,
                            [this, id, permit_request, result]
                            { end_call(id, permit_request, ports::call_end::answered, result); });
                    });
            });
    }

    void end_call(std::uint64_t id,
        std::uint64_t permit_request,
        ports::call_end end,
        const target_result& result)
    {
        const auto at = requests_.find(id);
        if (at == requests_.end() || at->second.flow.phase != flow_phase::sending ||
            at->second.flow.permit_request_id != permit_request)
        {
            return;
        }
        ports::http_outcome it;
        it.end = end;
        it.response.status = result.status;
        it.elapsed = simulation_.events.now() - at->second.flow.sent_at;
        execute_all(
            id, on_outcome(at->second.flow, sender_of(at->second), it, simulation_.events.now()));
    }

    void execute(std::uint64_t id, const answer_caller& action)
    {
        const auto& request = requests_.at(id).request;
        const bool ok = action.outcome == caller_outcome::answered && action.response.status < 500;
        const auto other =
            action.outcome == caller_outcome::not_run ? request_end::refused : request_end::failed;
        simulation_.ended(request, ok ? request_end::answered : other);
    }

    void execute(std::uint64_t, const cancel_send&)
    {
    }

    void execute(std::uint64_t, const request_claim&)
    {
    }

    void execute(std::uint64_t, const finish_claim&)
    {
    }

    void deliver(std::size_t owner, const permit_answers& answers)
    {
        for (const auto& it : answers)
        {
            const auto permit_request = permit_requests_.find(it.to);
            if (permit_request == permit_requests_.end())
            {
                continue;
            }
            const auto id = permit_request->second;
            permit_requests_.erase(permit_request);
            simulation_.events.after(
                delay_to_owner(std::stoi(it.to.member)), [this, id, it] { handle_permit(id, it); });
        }
        schedule_tick(owner);
    }

    void handle_permit(std::uint64_t id, const permit_answer& answer)
    {
        const auto at = requests_.find(id);
        if (at != requests_.end())
        {
            execute_all(id,
                on_permit(at->second.flow,
                    sender_of(at->second),
                    answer.to.request,
                    ports::peer_status::ok,
                    answer.reply,
                    true,
                    simulation_.events.now()));
        }
    }

    void schedule_tick(std::size_t owner)
    {
        const auto when = next_wakeup(owners_[owner]);
        if (when >= ticks_[owner])
        {
            return;
        }
        ticks_[owner] = when;
        simulation_.events.at(when,
            [this, owner]
            {
                ticks_[owner] = core::mono_time::max();
                deliver(owner, on_tick(owners_[owner], simulation_.events.now()));
            });
    }

    simulation simulation_;
    bool subsets_;
    std::vector<pool_dispatcher> owners_;
    std::vector<core::mono_time> ticks_;
    std::vector<request_sender> senders_;
    std::map<std::uint64_t, request_state> requests_;
    std::map<permit_request_key, std::uint64_t> permit_requests_;
    std::uint64_t next_ = 1;
};

} // namespace

run_result run_permits(const load_settings& load)
{
    return permit_simulation{load, sender_settings{}, false}.run("permits");
}

run_result run_permits_without_timeouts(const load_settings& load)
{
    sender_settings settings;
    settings.min_timeout_samples = std::numeric_limits<std::uint64_t>::max();
    return permit_simulation{load, settings, false}.run("patient");
}

run_result run_subsets(const load_settings& load)
{
    return permit_simulation{load, sender_settings{}, true}.run("subsets");
}

} // namespace camphorhitch::bench
