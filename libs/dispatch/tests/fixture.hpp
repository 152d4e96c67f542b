/// \file
/// Fixture: one pool with a few targets, and helpers that request and return permits.
#pragma once

#include "dispatch/dispatcher.hpp"
#include "dispatch/take_over.hpp"

#include <string>
#include <vector>

namespace camphorhitch::dispatch::test
{

inline core::mono_time at(std::int64_t ms)
{
    return core::mono_time{core::millis{ms}};
}

inline model::pool_config quotes_pool()
{
    model::pool_config out;
    out.name = "quotes";
    return out;
}

/// \return hosts h1, h2, ... in zones a, b, a, b, ...
inline model::pool_document document_of(int hosts, int slots)
{
    model::pool_document out;
    out.pool = "quotes";
    for (int i = 1; i <= hosts; ++i)
    {
        model::host_record it;
        it.id = "h" + std::to_string(i);
        it.zone = i % 2 == 1 ? "a" : "b";
        it.target = "10.0.0." + std::to_string(i) + ":80";
        it.slots = slots;
        out.hosts.push_back(it);
    }
    return out;
}

/// The dispatcher of pool "quotes".
struct pool_fixture
{
    model::pool_document document;
    ports::live_list live;
    pool_dispatcher d;
    std::uint64_t next_request = 1;

    pool_fixture(int hosts, int slots, model::pool_config pool = quotes_pool())
        : document{document_of(hosts, slots)}
    {
        d = std::get<pool_dispatcher>(dispatcher_builder{}.pool(pool).epoch(1).build());
        set_hosts(d, document, live, at(0));
    }

    /// Sets the state of \p host in the pool document and updates the dispatcher.
    permit_answers set_state(const std::string& host, model::host_state state, core::mono_time now)
    {
        model::find_host(document, host)->state = state;
        return set_hosts(d, document, live, now);
    }

    /// \return a new permit request of member e1, with the next number.
    ports::permit_request make_request(ports::request_class klass = ports::request_class::quick,
        core::millis time_left = core::millis{2000})
    {
        ports::permit_request out;
        out.epoch = 1;
        out.member = "e1";
        out.incarnation = "i1";
        out.request = next_request++;
        out.pool = "quotes";
        out.zone = "a";
        out.klass = klass;
        out.time_left = time_left;
        return out;
    }

    permit_answers request(const ports::permit_request& it, core::mono_time now)
    {
        return on_request(d, it, now);
    }

    /// Requests a permit. \return the answer, or an empty one if the request waits.
    permit_answer granted(
        core::mono_time now, ports::request_class klass = ports::request_class::quick)
    {
        const auto out = on_request(d, make_request(klass), now);
        return out.empty() ? permit_answer{} : out.front();
    }

    permit_answers return_permit(const permit_answer& it,
        ports::permit_outcome outcome,
        core::mono_time now,
        core::micros elapsed = core::millis{20})
    {
        ports::permit_return out;
        out.member = it.to.member;
        out.incarnation = it.to.incarnation;
        out.request = it.to.request;
        out.permit = it.reply.permit;
        out.host = it.reply.host;
        out.pool = "quotes";
        out.outcome = outcome;
        out.elapsed = elapsed;
        return on_return(d, out, now);
    }
};

inline bool is_granted(const permit_answers& out)
{
    return out.size() == 1 && out.front().reply.verdict == ports::permit_verdict::granted;
}

} // namespace camphorhitch::dispatch::test
