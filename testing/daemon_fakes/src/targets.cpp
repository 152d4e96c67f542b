#include "daemon_fakes/targets.hpp"

#include <algorithm>

namespace camphorhitch::daemon_fakes
{

namespace
{

int count_reported(const target& t)
{
    return static_cast<int>(std::count_if(t.senders.begin(),
        t.senders.end(),
        [](const auto& it) { return !it.first->dead && it.first->expirations == it.second; }));
}

} // namespace

targets::targets(virtual_time& time) : time_(time)
{
}

int targets::runs_of(const std::string& body) const
{
    std::ptrdiff_t n = 0;
    for (const auto& [address, it] : all)
    {
        n += std::count(it.ran.begin(), it.ran.end(), body);
    }
    return static_cast<int>(n);
}

void targets::serve(process& from, const ports::http_call& call, ports::call_id id)
{
    const auto finish = [this, &from, id](const ports::http_outcome& outcome)
    {
        from.enter(
            [this, id, outcome]
            {
                const auto it = open_.find(id);
                if (it != open_.end())
                {
                    const auto done = std::move(it->second);
                    open_.erase(it);
                    done(outcome);
                }
            });
    };
    const auto found = all.find(call.address);
    if (found == all.end() || found->second.down || time_.now() > call.latest_start)
    {
        finish({});
        return;
    }
    auto& t = found->second;
    ++t.running;
    t.max_running = std::max(t.max_running, t.running);
    t.ran.push_back(call.request.body);
    const std::pair<const process*, int> sender{&from, from.expirations};
    t.senders.push_back(sender);
    t.max_reported = std::max(t.max_reported, count_reported(t));
    ports::http_outcome cut;
    cut.end = ports::call_end::interrupted;
    time_.after(call.total_timeout, [finish, cut] { finish(cut); });
    time_.after(t.run_time,
        [&t, finish, sender, body = call.request.body]
        {
            --t.running;
            t.senders.erase(std::find(t.senders.begin(), t.senders.end(), sender));
            if (!t.silent && !t.down)
            {
                ports::http_outcome answer;
                answer.end = ports::call_end::answered;
                answer.response = {200, {}, "ran " + body};
                finish(answer);
            }
        });
}

ports::http_client targets::port(process& from)
{
    ports::http_client out;
    out.send = [this, &from](ports::http_call call, std::function<void(ports::http_outcome)> done)
    {
        const auto id = ++last_;
        open_[id] = std::move(done);
        time_.after(wire_delay,
            [this, &from, id, call = std::move(call)]
            {
                from.enter(
                    [this, &from, id, call]
                    {
                        if (open_.count(id) > 0)
                        {
                            serve(from, call, id);
                        }
                    });
            });
        return id;
    };
    out.cancel = [this](ports::call_id id)
    {
        open_.erase(id);
    };
    return out;
}

} // namespace camphorhitch::daemon_fakes
