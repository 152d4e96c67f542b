#include "scheduler.hpp"

namespace camphorhitch::bench
{

namespace
{

/// Interval between polls of all hosts' reports.
constexpr core::millis poll_interval{2000};

/// The product's scheduler: one member that runs decide_round.
class rounds_scheduler : public scheduler
{
public:
    explicit rounds_scheduler(core::mono_time now)
        : member_(job_fakes::make_member("bench", 1, "e1", now))
    {
        member_.jobs.predecessor_stopped_at = now;
    }

    std::string name() const override
    {
        return "rounds";
    }

    void submit(job_fakes::pool_environment& env, const std::vector<jobs::submission>& all) override
    {
        job_fakes::submit(env, all);
    }

    void step(job_fakes::pool_environment& env) override
    {
        job_fakes::read_changes(member_, env);
        if (env.now - member_.polled >= poll_interval)
        {
            job_fakes::poll(member_, env);
        }
        job_fakes::step(member_, env);
    }

    int waiting() const override
    {
        return count(jobs::job_state::waiting);
    }

    int abandoned() const override
    {
        return count(jobs::job_state::set_aside) + count(jobs::job_state::failed);
    }

private:
    int count(jobs::job_state state) const
    {
        int n = 0;
        for (const auto& b : member_.jobs.buckets)
        {
            for (const auto& it : b.document.jobs)
            {
                n += it.state == state ? 1 : 0;
            }
        }
        return n;
    }

    job_fakes::member member_;
};

} // namespace

std::unique_ptr<scheduler> make_rounds(core::mono_time now)
{
    return std::make_unique<rounds_scheduler>(now);
}

} // namespace camphorhitch::bench
