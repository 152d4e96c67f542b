#include "simulation.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorhitch::bench
{

namespace
{

// Standard deviations of the logarithm of service times.
constexpr double quick_sigma = 0.5;
constexpr double long_sigma = 1.0;
constexpr core::micros failing_service{1000};
constexpr int status_failed = 500;

class load_generator
{
public:
    load_generator(simulation& sim, submit policy)
        : simulation_{sim}, policy_{std::move(policy)}, random_{sim.settings.seed}
    {
        const auto& s = sim.settings;
        const auto work_us = s.load * s.targets * s.slots; // microseconds of work per microsecond
        const auto quick_us = static_cast<double>(s.quick_service.count());
        const auto long_us = static_cast<double>(s.long_service.count());
        quick_rate_ = work_us * s.quick_work / quick_us;
        long_rate_ = work_us * (1 - s.quick_work) / long_us;
    }

    void start()
    {
        next(ports::request_class::quick);
        next(ports::request_class::long_running);
    }

private:
    void next(ports::request_class klass)
    {
        const bool quick = klass == ports::request_class::quick;
        std::exponential_distribution<double> gap{quick ? quick_rate_ : long_rate_};
        const core::micros wait{static_cast<std::int64_t>(gap(random_))};
        simulation_.events.after(wait,
            [this, klass]
            {
                policy_(make_request(klass));
                next(klass);
            });
    }

    offered make_request(ports::request_class klass)
    {
        const auto& s = simulation_.settings;
        const bool quick = klass == ports::request_class::quick;
        const double mean = static_cast<double>((quick ? s.quick_service : s.long_service).count());
        const double sigma = quick ? quick_sigma : long_sigma;
        std::lognormal_distribution<double> service{std::log(mean) - sigma * sigma / 2, sigma};
        offered out;
        out.sender = std::uniform_int_distribution<int>{0, s.senders - 1}(random_);
        out.klass = klass;
        out.idempotent = std::bernoulli_distribution{s.idempotent}(random_);
        out.service = core::micros{static_cast<std::int64_t>(service(random_))};
        out.deadline = quick ? s.quick_deadline : s.long_deadline;
        out.arrived = simulation_.events.now();
        return out;
    }

    simulation& simulation_;
    submit policy_;
    std::mt19937_64 random_;
    double quick_rate_ = 0;
    double long_rate_ = 0;
};

} // namespace

bool event_queue::later::operator()(const event& a, const event& b) const
{
    return a.when != b.when ? a.when > b.when : a.number > b.number;
}

void event_queue::at(core::mono_time when, std::function<void()> fn)
{
    events_.push({std::max(when, now_), next_++, std::move(fn)});
}

void event_queue::after(core::micros delay, std::function<void()> fn)
{
    at(now_ + delay, std::move(fn));
}

void event_queue::run_until(core::mono_time end)
{
    while (!events_.empty() && events_.top().when <= end)
    {
        const auto it = events_.top();
        events_.pop();
        now_ = it.when;
        it.fn();
    }
}

core::mono_time event_queue::now() const
{
    return now_;
}

target::target(event_queue& events, int slots) : events_{events}, slots_{slots}
{
}

void target::submit(core::micros service, std::function<void(target_result)> on_end)
{
    job it{failing_ ? failing_service : service, std::move(on_end)};
    max_at_once_ = std::max(max_at_once_, at_once() + 1);
    if (running_ < slots_)
    {
        start(std::move(it));
        return;
    }
    queue_.push_back(std::move(it));
}

void target::start(job it)
{
    running_ += 1;
    events_.after(it.service,
        [this, on_end = std::move(it.on_end)]
        {
            running_ -= 1;
            if (!queue_.empty())
            {
                auto next = std::move(queue_.front());
                queue_.pop_front();
                start(std::move(next));
            }
            on_end({failing_ ? status_failed : target_result{}.status});
        });
}

void target::fail_all_requests()
{
    failing_ = true;
}

int target::max_at_once() const
{
    return max_at_once_;
}

int target::at_once() const
{
    return running_ + static_cast<int>(queue_.size());
}

simulation::simulation(const load_settings& from) : settings{from}, loss_random_{from.seed}
{
    targets.reserve(static_cast<std::size_t>(from.targets));
    for (int i = 0; i < from.targets; ++i)
    {
        targets.emplace_back(events, from.slots);
        if (i < from.failing_targets)
        {
            targets.back().fail_all_requests();
        }
    }
}

void simulation::count_send(int target_index)
{
    result.sends += 1;
    result.sends_to_failing += target_index < settings.failing_targets ? 1 : 0;
}

bool simulation::is_lost(bool fresh_connection)
{
    return !fresh_connection && std::bernoulli_distribution{settings.lost_send_share}(loss_random_);
}

void simulation::ended(const offered& request, request_end how)
{
    if (events.now() < core::mono_time{settings.warm_up})
    {
        return;
    }
    const bool quick = request.klass == ports::request_class::quick;
    auto& out = quick ? result.quick : result.long_running;
    const auto latency = events.now() - request.arrived;
    out.offered += 1;
    if (how == request_end::refused)
    {
        out.refused += 1;
        return;
    }
    if (how == request_end::failed || latency > request.deadline)
    {
        out.failed += 1;
        return;
    }
    out.answered += 1;
    out.latencies_us.push_back(latency.count());
    out.useful_work_us += static_cast<double>(request.service.count());
}

run_result offer_load(simulation& sim, const std::string& name, const submit& policy)
{
    load_generator load{sim, policy};
    load.start();
    const core::mono_time end{sim.settings.warm_up + sim.settings.measured};
    sim.events.run_until(end);
    sim.result.policy = name;
    sim.result.load = sim.settings.load;
    for (const auto& it : sim.targets)
    {
        sim.result.max_at_once = std::max(sim.result.max_at_once, it.max_at_once());
    }
    const auto work = sim.result.quick.useful_work_us + sim.result.long_running.useful_work_us;
    const auto slots = sim.settings.targets * sim.settings.slots;
    sim.result.useful_share =
        work / (static_cast<double>(core::micros{sim.settings.measured}.count()) * slots);
    return sim.result;
}

std::int64_t quantile(std::vector<std::int64_t> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(
        values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

} // namespace camphorhitch::bench
