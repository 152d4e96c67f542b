/// \file
/// A pool of several hosts on virtual time, for the tests of rounds.
#pragma once

#include "job_fakes/member.hpp"

#include <string>
#include <utility>

namespace camphorhitch::jobs_test
{

inline constexpr core::millis tick{100};
inline constexpr core::millis poll_interval{1000};

/// Hosts w0, w1, ... with 8 processors and 32 GB in two zones, two hosts to a rack.
inline job_fakes::pool_environment make_environment(int hosts)
{
    job_fakes::pool_environment w;
    w.hosts.pool = "quotes";
    for (int i = 0; i < hosts; ++i)
    {
        model::host_record h;
        h.id = "w" + std::to_string(i);
        h.zone = "z" + std::to_string(i % 2);
        h.rack = "r" + std::to_string(i / 4);
        h.processors = 8;
        h.memory_gb = 32;
        w.hosts.hosts.push_back(h);
        w.platform.all[h.id] = {h.id, {8, 32, 0}, false, true, {}, {}, {}};
    }
    w.teams = {{"lens", 1000, 4000, 10}, {"trips", 1000, 4000, 10}};
    w.platform.behaviour = [](const ports::task_order& it)
    {
        return job_fakes::real_task{
            {it.processors, it.memory_gb, it.accelerators}, it.run_time, core::millis{300}, false};
    };
    return w;
}

inline jobs::submission make_submission(const std::string& id,
    double processors = 2,
    jobs::job_class klass = jobs::job_class::normal,
    bool idempotent = true)
{
    return {id,
        "lens",
        "reconcile",
        klass,
        {processors, processors * 2, 0},
        core::millis{10000},
        idempotent,
        "run"};
}

/// Advances the time while the member runs its rounds.
inline void pass_time(job_fakes::member& m,
    job_fakes::pool_environment& w,
    core::millis time,
    core::millis every = tick)
{
    const core::mono_time until = w.now + time;
    while (w.now < until)
    {
        w.now += every;
        job_fakes::advance(w.platform, w.now, every);
        job_fakes::read_changes(m, w);
        if (w.now - m.polled >= poll_interval)
        {
            job_fakes::poll(m, w);
        }
        job_fakes::step(m, w);
    }
}

inline std::string state_of(const job_fakes::pool_environment& w, const std::string& id)
{
    const jobs::job* j = job_fakes::stored_job(w, id);
    return j == nullptr ? "missing" : std::string{core::name_of(jobs::job_state_names, j->state)};
}

inline std::string host_of(const job_fakes::pool_environment& w, const std::string& id)
{
    const jobs::job* j = job_fakes::stored_job(w, id);
    return j == nullptr ? "" : j->host;
}

inline int starts_of(const job_fakes::pool_environment& w, const std::string& id)
{
    int n = 0;
    for (const auto& it : w.platform.starts)
    {
        n += it.job == id ? 1 : 0;
    }
    return n;
}

} // namespace camphorhitch::jobs_test
