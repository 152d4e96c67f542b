#include "policies.hpp"

#include <memory>

namespace camphorhitch::bench
{

namespace
{

struct direct_settings
{
    /// Whether a sender chooses the target with the fewest of its own requests; else round robin.
    bool least_outstanding = false;
    int retries = 3;
    int target_queue = 0; ///< maximum number of requests that wait at a target; 0: no bound
};

/// Senders that choose targets independently and do not limit their load.
class direct_simulation
{
public:
    direct_simulation(const load_settings& load, const direct_settings& settings)
        : simulation_{load}, settings_{settings}, next_(static_cast<std::size_t>(load.senders)),
          outstanding_(static_cast<std::size_t>(load.senders),
              std::vector<int>(static_cast<std::size_t>(load.targets)))
    {
        for (std::size_t i = 0; i < next_.size(); ++i)
        {
            next_[i] = i; // The senders start at different targets.
        }
    }

    run_result run(const std::string& name)
    {
        return offer_load(simulation_, name, [this](const offered& it) { attempt(it, 0); });
    }

private:
    struct call
    {
        offered request;
        int attempt = 0;
        std::size_t target_index = 0;
        bool has_ended = false;
    };

    std::size_t choose(std::size_t sender)
    {
        const auto n = simulation_.targets.size();
        auto best = next_[sender]++ % n;
        for (std::size_t i = 1; settings_.least_outstanding && i < n; ++i)
        {
            const auto it = (best + i) % n;
            best = outstanding_[sender][it] < outstanding_[sender][best] ? it : best;
        }
        return best;
    }

    void attempt(const offered& request, int number)
    {
        const auto sender = static_cast<std::size_t>(request.sender);
        auto it = std::make_shared<call>(call{request, number, choose(sender)});
        outstanding_[sender][it->target_index] += 1;
        simulation_.count_send(static_cast<int>(it->target_index));
        if (!simulation_.is_lost(false))
        {
            simulation_.events.after(
                simulation_.settings.message_delay, [this, it] { deliver_to_target(it); });
        }
        const auto part = core::micros{request.deadline} / (settings_.retries + 1);
        simulation_.events.after(part, [this, it] { end(it, true); });
    }

    void deliver_to_target(const std::shared_ptr<call>& it)
    {
        auto& target = simulation_.targets[it->target_index];
        const auto capacity = settings_.target_queue + simulation_.settings.slots;
        if (settings_.target_queue > 0 && target.at_once() >= capacity)
        {
            simulation_.events.after(
                simulation_.settings.message_delay, [this, it] { end(it, true); });
            return;
        }
        target.submit(it->request.service,
            [this, it](target_result result)
            {
                const bool failed = result.status != target_result{}.status;
                simulation_.events.after(
                    simulation_.settings.message_delay, [this, it, failed] { end(it, failed); });
            });
    }

    void end(const std::shared_ptr<call>& it, bool failed)
    {
        if (it->has_ended)
        {
            return;
        }
        it->has_ended = true;
        outstanding_[static_cast<std::size_t>(it->request.sender)][it->target_index] -= 1;
        const bool late = simulation_.events.now() - it->request.arrived >= it->request.deadline;
        if (failed && it->attempt < settings_.retries && !late)
        {
            attempt(it->request, it->attempt + 1);
            return;
        }
        simulation_.ended(it->request, failed ? request_end::failed : request_end::answered);
    }

    simulation simulation_;
    direct_settings settings_;
    std::vector<std::size_t> next_;
    std::vector<std::vector<int>> outstanding_;
};

} // namespace

run_result run_baseline(const load_settings& load)
{
    return direct_simulation{load, {}}.run("baseline");
}

run_result run_target_queues(const load_settings& load)
{
    constexpr int queue = 16;
    return direct_simulation{load, {true, 1, queue}}.run("target_queues");
}

} // namespace camphorhitch::bench
