#include "scheduler.hpp"

#include <deque>

namespace camphorhitch::bench
{

namespace
{

constexpr int most_tries = 5;
constexpr core::millis lease{3600000};

struct queued
{
    jobs::submission job;
    int tries = 0;
};

/// Knows what it placed and nothing of what is used; a failed job goes to the end of the queue.
class first_fit : public scheduler
{
public:
    explicit first_fit(bool skips) : skips_(skips)
    {
    }

    std::string name() const override
    {
        return skips_ ? "first fit, skipping" : "first fit, first come";
    }

    void submit(job_fakes::world&, const std::vector<jobs::submission>& all) override
    {
        for (const auto& it : all)
        {
            queue_.push_back({it, 0});
        }
    }

    void step(job_fakes::world& w) override
    {
        collect_ended(w);
        std::deque<queued> left;
        while (!queue_.empty())
        {
            queued it = std::move(queue_.front());
            queue_.pop_front();
            const bool placed = place(w, it);
            if (!placed && !skips_)
            {
                queue_.push_front(std::move(it));
                return;
            }
            if (!placed)
            {
                left.push_back(std::move(it));
            }
        }
        queue_ = std::move(left);
    }

    int waiting() const override
    {
        return static_cast<int>(queue_.size());
    }

    int given_up() const override
    {
        return given_up_;
    }

private:
    void collect_ended(job_fakes::world& w)
    {
        for (auto& host : w.platform.all)
        {
            for (auto it = host.second.tasks.begin(); it != host.second.tasks.end();)
            {
                const auto found = running_.find(it->first);
                const bool ended = it->second.state != ports::task_state::running;
                if (!ended || found == running_.end())
                {
                    ++it;
                    continue;
                }
                used_[host.first] = used_[host.first] - found->second.job.declared;
                if (it->second.state != ports::task_state::finished)
                {
                    try_again(found->second);
                }
                running_.erase(found);
                it = host.second.tasks.erase(it);
            }
        }
    }

    void try_again(queued it)
    {
        it.tries += 1;
        if (it.tries < most_tries)
        {
            queue_.push_back(std::move(it));
        }
        else
        {
            given_up_ += 1;
        }
    }

    bool place(job_fakes::world& w, const queued& it)
    {
        for (const auto& host : w.hosts.hosts)
        {
            const jobs::resources room{host.processors, host.memory_gb, host.accelerators};
            jobs::resources& used = used_[host.id];
            if (!jobs::fits(used + it.job.declared, room))
            {
                continue;
            }
            used = used + it.job.declared;
            ports::task_order order;
            order.host = host.id;
            order.task = it.job.id + "/1." + std::to_string(it.tries);
            order.processors = it.job.declared.processors;
            order.memory_gb = it.job.declared.memory_gb;
            order.accelerators = it.job.declared.accelerators;
            order.run_time = it.job.run_time;
            order.lease_ttl = lease;
            running_[order.task] = it;
            job_fakes::start(w.platform, order, w.now);
            return true;
        }
        return false;
    }

    bool skips_;
    std::deque<queued> queue_;
    std::map<std::string, queued> running_;       ///< by task
    std::map<std::string, jobs::resources> used_; ///< by host, as declared
    int given_up_ = 0;
};

} // namespace

std::unique_ptr<scheduler> make_first_fit(bool skips)
{
    return std::make_unique<first_fit>(skips);
}

} // namespace camphorhitch::bench
