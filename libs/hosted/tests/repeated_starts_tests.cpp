#include "hosted_fakes/cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace camphorhitch;
using namespace camphorhitch::hosted_fakes;
using ports::runner_verdict;
using workflow::job_state;

namespace
{

/// Outcome of one send of a start order.
enum class send_outcome
{
    answered,
    answered_late, ///< answered after the next send
    answer_lost,
    lost,
    late,            ///< carried out a second later, without an answer
    late_by_a_lease, ///< carried out after the present leases of the runner have ended
    not_sent,
    not_sent_late,
    refused,
    refused_late
};

constexpr core::name_table<send_outcome, 10> send_outcome_names{{
    {send_outcome::answered, "answered"},
    {send_outcome::answered_late, "answered late"},
    {send_outcome::answer_lost, "answer lost"},
    {send_outcome::lost, "lost"},
    {send_outcome::late, "late"},
    {send_outcome::late_by_a_lease, "late by a lease"},
    {send_outcome::not_sent, "not sent"},
    {send_outcome::not_sent_late, "not sent, answered late"},
    {send_outcome::refused, "refused"},
    {send_outcome::refused_late, "refused, answered late"},
}};

/// What happens to the runner or the coordinator meanwhile.
enum class runner_event
{
    none,
    crashes, ///< the runner crashes and returns within a lease
    cut_off, ///< the runner is cut off for longer than its leases
    coordinator_dies
};

constexpr core::name_table<runner_event, 4> runner_event_names{{
    {runner_event::none, "no event"},
    {runner_event::crashes, "crashes"},
    {runner_event::cut_off, "cut off"},
    {runner_event::coordinator_dies, "coordinator dies"},
}};

constexpr core::millis call_timeout{700};
constexpr core::millis answer_delay{600};
constexpr core::millis delay_within_a_lease{1000};
constexpr core::millis delay_beyond_a_lease{5300};

using outcomes = std::array<send_outcome, 3>;

/// A cluster in which the sends of the first start order have the outcomes that a test chooses.
struct repeated_start_fixture
{
    cluster c;
    daemon_fakes::process surviving_process;
    ports::runners surviving_runners;
    outcomes outcomes_to_play{};
    std::size_t sent = 0;
    std::string first_task; ///< task of the first start; empty until it is sent
    std::int64_t first_run = 0;

    runner_verdict verdict_if_unanswered; ///< verdict reported for an unanswered send

    explicit repeated_start_fixture(outcomes f, runner_verdict unanswered = runner_verdict::unknown)
        : outcomes_to_play(f), verdict_if_unanswered(unanswered)
    {
        surviving_runners = c.hosts.runner_port(surviving_process);
        c.hosts.accepts_starts_under_any_lease = true;
        c.hosts.behaviour.run_time = 1500ms;
        c.customize_node = [this](node& n)
        {
            n.ctx.runners.start = [this, &n, real = n.ctx.runners.start](
                                      const auto& to, const auto& order, const auto& done)
            {
                if (!is_first_start(order) || sent >= outcomes_to_play.size())
                {
                    real(to, order, done);
                    return;
                }
                send_with_outcome(n, outcomes_to_play.at(sent++), real, to, order, done);
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

    bool is_first_start(const ports::start_order& o)
    {
        if (first_task.empty())
        {
            first_task = o.task;
            first_run = o.run;
        }
        return o.task == first_task && o.run == first_run;
    }

    template <class Start>
    void send_with_outcome(node& n,
        send_outcome outcome,
        const Start& real,
        const ports::runner_ref& to,
        const ports::start_order& o,
        const std::function<void(ports::runner_answer)>& done)
    {
        const auto answer = [&n, done](core::millis delay, runner_verdict v)
        {
            n.ctx.time.after(delay, [done, v] { done({v, -1}); });
        };
        const auto carry_out = [this, to, o]
        {
            surviving_runners.start(to, o, [](const ports::runner_answer&) {});
        };
        switch (outcome)
        {
        case send_outcome::answered:
            real(to, o, done);
            break;
        case send_outcome::answered_late:
            real(to,
                o,
                [&n, done](const ports::runner_answer& a)
                { n.ctx.time.after(answer_delay, [done, a] { done(a); }); });
            break;
        case send_outcome::answer_lost:
            carry_out();
            answer(call_timeout, verdict_if_unanswered);
            break;
        case send_outcome::lost:
            answer(call_timeout, verdict_if_unanswered);
            break;
        case send_outcome::late:
            c.time.after(delay_within_a_lease, carry_out);
            answer(call_timeout, verdict_if_unanswered);
            break;
        case send_outcome::late_by_a_lease:
            c.time.after(delay_beyond_a_lease, carry_out);
            answer(call_timeout, verdict_if_unanswered);
            break;
        case send_outcome::not_sent:
        case send_outcome::not_sent_late:
            answer(
                outcome == send_outcome::not_sent ? 1ms : answer_delay, runner_verdict::not_sent);
            break;
        case send_outcome::refused:
        case send_outcome::refused_late:
            answer(
                outcome == send_outcome::refused ? 2ms : answer_delay, runner_verdict::unhealthy);
            break;
        }
    }

    void schedule_event(runner_event what)
    {
        const auto after = 300ms;
        switch (what)
        {
        case runner_event::none:
            break;
        case runner_event::crashes:
            c.time.after(after, [this] { c.hosts.crash("m1", 400ms); });
            break;
        case runner_event::cut_off:
            c.time.after(after, [this] { c.hosts.cut("m1", 4s); });
            break;
        case runner_event::coordinator_dies:
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

    std::string run_job(runner_event what)
    {
        c.put_job(c.make_job("a", 1, 2));
        schedule_event(what);
        const bool ended = c.ends("a", job_state::completed, 30s);
        c.time.run_for(delay_beyond_a_lease);
        return c.breaches() + (ended ? "" : "the job did not end");
    }
};

std::string describe(const outcomes& all, runner_event what)
{
    std::string out{core::name_of(runner_event_names, what)};
    for (const auto it : all)
    {
        out += ", " + std::string{core::name_of(send_outcome_names, it)};
    }
    return out + ": ";
}

/// \return the first problem, or empty.
std::string run_all(runner_verdict verdict_if_unanswered)
{
    for (const auto& what : runner_event_names)
    {
        for (const auto& a : send_outcome_names)
        {
            for (const auto& b : send_outcome_names)
            {
                for (const auto& third : send_outcome_names)
                {
                    const outcomes all{a.value, b.value, third.value};
                    const auto problem =
                        repeated_start_fixture(all, verdict_if_unanswered).run_job(what.value);
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

// An order is repeated while its answer is overdue. Guards against taking the refusal of one send
// for all of them: the task would start elsewhere while another send is carried out.
TEST(repeated_starts, the_task_runs_once_whatever_happens_to_each_send)
{
    const auto problem = run_all(runner_verdict::unknown);
    STRCMP_EQUAL("", problem.c_str());
}

// If an unanswered send counts as refused, some outcomes break a promise, which shows that the
// check can fail.
TEST(repeated_starts, a_disabled_safeguard_is_detected)
{
    CHECK(!run_all(runner_verdict::no_room).empty());
}
