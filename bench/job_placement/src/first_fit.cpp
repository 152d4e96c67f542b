#include "scheduler.hpp"

#include <deque>

namespace camphorhitch::bench
{

namespace
{

constexpr int max_attempts = 5;
constexpr core::millis lease{3600000};

struct queued
{
    jobs::submission job;
    int attempts = 0;
};

/// Places jobs by declared size on the first host where they fit. The scheduler has no measurements
/// of actual use. A failed job goes to the end of the queue.
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

    void submit(job_fakes::pool_environment&, const std::vector<jobs::submission>& all) override
    {
        for (const auto& it : all)
        {
            queue_.push_back({it, 0});
        }
    }

    void step(job_fakes::pool_environment& env) override
    {
        collect_ended(env);
        std::deque<queued> remaining;
        while (!queue_.empty())
        {
            queued it = std::move(queue_.front());
            queue_.pop_front();
            const bool placed = place(env, it);
            if (!placed && !skips_)
            {
                queue_.push_front(std::move(it));
                return;
            }
            if (!placed)
            {
                remaining.push_back(std::move(it));
            }
        }
        queue_ = std::move(remaining);
    }

    int waiting() const override
    {
        return static_cast<int>(queue_.size());
    }

    int abandoned() const override
    {
        return abandoned_;
    }

private:
    void collect_ended(job_fakes::pool_environment& env)
    {
        for (auto& host : env.platform.all)
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
                    retry(found->second);
                }
                running_.erase(found);
                it = host.second.tasks.erase(it);
            }
        }
    }

    void retry(queued it)
    {
        it.attempts += 1;
        if (it.attempts < max_attempts)
        {
            queue_.push_back(std::move(it));
        }
        else
        {
            abandoned_ += 1;
        }
    }

    bool place(job_fakes::pool_environment& env, const queued& it)
    {
        for (const auto& host : env.hosts.hosts)
        {
            const jobs::resources capacity{host.processors, host.memory_gb, host.accelerators};
            jobs::resources& used = used_[host.id];
            if (!jobs::fits(used + it.job.declared, capacity))
            {
                continue;
            }
            used = used + it.job.declared;
            ports::task_order order;
            order.host = host.id;
            order.task = it.job.id + "/1." + std::to_string(it.attempts);
            order.processors = it.job.declared.processors;
            order.memory_gb = it.job.declared.memory_gb;
            order.accelerators = it.job.declared.accelerators;
            order.run_time = it.job.run_time;
            order.lease_ttl = lease;
            running_[order.task] = it;
            job_fakes::start(env.platform, order, env.now);
            return true;
        }
        return false;
    }

    bool skips_;
    std::deque<queued> queue_;
    std::map<std::string, queued> running_;       ///< running jobs by task
    std::map<std::string, jobs::resources> used_; ///< declared sizes of running jobs by host
    int abandoned_ = 0;
};

} // namespace

std::unique_ptr<scheduler> make_first_fit(bool skips)
{
    return std::make_unique<first_fit>(skips);
}

} // namespace camphorhitch::bench
