#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using ports::runner_verdict;
using workflow::job_state;

namespace
{

/// What becomes of one copy of a start.
enum class copy_fate
{
    answered,
    answered_late, ///< after the next copy has left
    answer_lost,
    lost,
    late,            ///< carried out a second later, unheard
    late_by_a_lease, ///< carried out when the runner's leases of now have ended
    not_sent,
    not_sent_late,
    refused,
    refused_late
};

constexpr core::name_table<copy_fate, 10> copy_fate_names{{
    {copy_fate::answered, "answered"},
    {copy_fate::answered_late, "answered late"},
    {copy_fate::answer_lost, "answer lost"},
    {copy_fate::lost, "lost"},
    {copy_fate::late, "late"},
    {copy_fate::late_by_a_lease, "late by a lease"},
    {copy_fate::not_sent, "not sent"},
    {copy_fate::not_sent_late, "not sent, told late"},
    {copy_fate::refused, "refused"},
    {copy_fate::refused_late, "refused, told late"},
}};

/// What becomes of the runner meanwhile.
enum class runner_fate
{
    well,
    crashes, ///< and is back within a lease
    dark,    ///< for longer than its leases
    owner_dies
};

constexpr core::name_table<runner_fate, 4> runner_fate_names{{
    {runner_fate::well, "well"},
    {runner_fate::crashes, "crashes"},
    {runner_fate::dark, "dark"},
    {runner_fate::owner_dies, "owner dies"},
}};

constexpr core::millis call_timeout{700};
constexpr core::millis told_late{600};
constexpr core::millis within_a_lease{1000};
constexpr core::millis beyond_a_lease{5300};

using fates = std::array<copy_fate, 3>;

/// The copies of the first start on one runner meet what a test says.
struct repeating_world
{
    cluster c;
    daemon_fakes::process ghost;
    ports::runners unheard;
    fates copies{};
    std::size_t sent = 0;
    std::string first_task; ///< of the first start, once it is sent
    std::int64_t first_run = 0;

    runner_verdict silence; ///< as which an unanswered copy is told

    explicit repeating_world(fates f, runner_verdict unanswered = runner_verdict::unknown)
        : copies(f), silence(unanswered)
    {
        unheard = c.hosts.runner_port(ghost);
        c.hosts.takes_starts_by_any_lease = true;
        c.hosts.behaviour.run_time = 1500ms;
        c.plant = [this](node& n)
        {
            n.ctx.runners.start = [this, &n, real = n.ctx.runners.start](
                                      const auto& to, const auto& order, const auto& done)
            {
                if (!is_copy(order) || sent >= copies.size())
                {
                    real(to, order, done);
                    return;
                }
                carry(n, copies.at(sent++), real, to, order, done);
            };
        };
        for (int i = 0; i < 2; ++i)
        {
            c.hosts.add("p");
            c.add_node();
        }
        c.has_leader();
        c.time.run_for(1s);
    }

    bool is_copy(const ports::start_order& o)
    {
        if (first_task.empty())
        {
            first_task = o.task;
            first_run = o.run;
        }
        return o.task == first_task && o.run == first_run;
    }

    template <class Start>
    void carry(node& n,
        copy_fate fate,
        const Start& real,
        const ports::runner_ref& to,
        const ports::start_order& o,
        const std::function<void(ports::runner_answer)>& done)
    {
        const auto tell = [&n, done](core::millis delay, runner_verdict v)
        {
            n.ctx.time.after(delay, [done, v] { done({v, -1}); });
        };
        const auto carry_out = [this, to, o]
        {
            unheard.start(to, o, [](const ports::runner_answer&) {});
        };
        switch (fate)
        {
        case copy_fate::answered:
            real(to, o, done);
            break;
        case copy_fate::answered_late:
            real(to,
                o,
                [&n, done](const ports::runner_answer& a)
                { n.ctx.time.after(told_late, [done, a] { done(a); }); });
            break;
        case copy_fate::answer_lost:
            carry_out();
            tell(call_timeout, silence);
            break;
        case copy_fate::lost:
            tell(call_timeout, silence);
            break;
        case copy_fate::late:
            c.time.after(within_a_lease, carry_out);
            tell(call_timeout, silence);
            break;
        case copy_fate::late_by_a_lease:
            c.time.after(beyond_a_lease, carry_out);
            tell(call_timeout, silence);
            break;
        case copy_fate::not_sent:
        case copy_fate::not_sent_late:
            tell(fate == copy_fate::not_sent ? 1ms : told_late, runner_verdict::not_sent);
            break;
        case copy_fate::refused:
        case copy_fate::refused_late:
            tell(fate == copy_fate::refused ? 2ms : told_late, runner_verdict::unhealthy);
            break;
        }
    }

    void befall(runner_fate what)
    {
        const auto after = 300ms;
        switch (what)
        {
        case runner_fate::well:
            break;
        case runner_fate::crashes:
            c.time.after(after, [this] { c.hosts.crash("m1", 400ms); });
            break;
        case runner_fate::dark:
            c.time.after(after, [this] { c.hosts.cut("m1", 4s); });
            break;
        case runner_fate::owner_dies:
            c.time.after(after,
                [this]
                {
                    if (auto* const n = c.leader())
                    {
                        n->process.dead = true;
                    }
                });
            break;
        }
    }

    std::string play(runner_fate what)
    {
        c.put_job(c.make_job("a", 1, 2));
        befall(what);
        const bool ended = c.ends("a", job_state::completed, 30s);
        c.time.run_for(beyond_a_lease);
        return c.breaches() + (ended ? "" : "the job did not end");
    }
};

std::string describe(const fates& all, runner_fate what)
{
    std::string out{core::name_of(runner_fate_names, what)};
    for (const auto it : all)
    {
        out += ", " + std::string{core::name_of(copy_fate_names, it)};
    }
    return out + ": ";
}

/// \return the first problem, or nothing.
std::string play_all(runner_verdict silence)
{
    for (const auto& what : runner_fate_names)
    {
        for (const auto& a : copy_fate_names)
        {
            for (const auto& b : copy_fate_names)
            {
                for (const auto& third : copy_fate_names)
                {
                    const fates all{a.value, b.value, third.value};
                    const auto problem = repeating_world(all, silence).play(what.value);
                    if (!problem.empty())
                    {
                        return describe(all, what.value) + problem;
                    }
                }
            }
        }
    }
    return {};
}

} // namespace

TEST_GROUP(repeated_starts){};

// An order is repeated while its answer is overdue. Were one copy's refusal taken for all, the task
// would start elsewhere beside another copy that is carried out.
TEST(repeated_starts, whatever_becomes_of_each_copy_the_task_runs_once)
{
    const auto problem = play_all(runner_verdict::unknown);
    STRCMP_EQUAL("", problem.c_str());
}

// With silence taken for a refusal some copies break a promise: the check can fail.
TEST(repeated_starts, a_safeguard_taken_out_is_seen)
{
    CHECK(!play_all(runner_verdict::no_room).empty());
}
