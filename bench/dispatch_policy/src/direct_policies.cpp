#include "policies.hpp"

#include <memory>

namespace camphorhitch::bench
{

namespace
{

struct direct_settings
{
    bool least_outstanding = false; ///< of the sender's own requests; otherwise round robin
    int retries = 3;
    int target_queue = 0; ///< most requests that wait at a target; 0: no bound
};

/// Senders that choose targets by themselves and limit nothing.
class direct_world
{
public:
    direct_world(const load_settings& load, const direct_settings& settings)
        : world_{load}, settings_{settings}, next_(static_cast<std::size_t>(load.senders)),
          own_(static_cast<std::size_t>(load.senders),
              std::vector<int>(static_cast<std::size_t>(load.targets)))
    {
        for (std::size_t i = 0; i < next_.size(); ++i)
        {
            next_[i] = i; // senders don't walk in step
        }
    }

    run_result run(const std::string& name)
    {
        return offer_load(world_, name, [this](const offered& it) { attempt(it, 0); });
    }

private:
    struct call
    {
        offered request;
        int attempt = 0;
        std::size_t target_index = 0;
        bool over = false;
    };

    std::size_t choose(std::size_t sender)
    {
        const auto n = world_.targets.size();
        auto best = next_[sender]++ % n;
        for (std::size_t i = 1; settings_.least_outstanding && i < n; ++i)
        {
            const auto it = (best + i) % n;
            best = own_[sender][it] < own_[sender][best] ? it : best;
        }
        return best;
    }

    void attempt(const offered& request, int number)
    {
        const auto sender = static_cast<std::size_t>(request.sender);
        auto it = std::make_shared<call>(call{request, number, choose(sender)});
        own_[sender][it->target_index] += 1;
        world_.count_send(static_cast<int>(it->target_index));
        if (!world_.is_swallowed(false))
        {
            world_.events.after(world_.settings.message_delay, [this, it] { reach(it); });
        }
        const auto part = core::micros{request.deadline} / (settings_.retries + 1);
        world_.events.after(part, [this, it] { end(it, true); });
    }

    void reach(const std::shared_ptr<call>& it)
    {
        auto& target = world_.targets[it->target_index];
        const auto room = settings_.target_queue + world_.settings.slots;
        if (settings_.target_queue > 0 && target.at_once() >= room)
        {
            world_.events.after(world_.settings.message_delay, [this, it] { end(it, true); });
            return;
        }
        target.submit(it->request.service,
            [this, it](target_result result)
            {
                const bool failed = result.status != target_result{}.status;
                world_.events.after(
                    world_.settings.message_delay, [this, it, failed] { end(it, failed); });
            });
    }

    void end(const std::shared_ptr<call>& it, bool failed)
    {
        if (it->over)
        {
            return;
        }
        it->over = true;
        own_[static_cast<std::size_t>(it->request.sender)][it->target_index] -= 1;
        const bool late = world_.events.now() - it->request.arrived >= it->request.deadline;
        if (failed && it->attempt < settings_.retries && !late)
        {
            attempt(it->request, it->attempt + 1);
            return;
        }
        world_.ended(it->request, failed ? ending::failed : ending::answered);
    }

    world world_;
    direct_settings settings_;
    std::vector<std::size_t> next_;
    std::vector<std::vector<int>> own_;
};

} // namespace

run_result run_baseline(const load_settings& load)
{
    return direct_world{load, {}}.run("baseline");
}

run_result run_target_queues(const load_settings& load)
{
    constexpr int queue = 16;
    return direct_world{load, {true, 1, queue}}.run("target_queues");
}

} // namespace camphorhitch::bench
