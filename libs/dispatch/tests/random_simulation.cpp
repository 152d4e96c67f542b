#include "random_simulation.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::dispatch::test
{

namespace
{

constexpr int hosts = 3;
constexpr int slots = 2;
constexpr std::size_t senders = 3;
constexpr std::uint32_t key_count = 5;
constexpr std::uint32_t max_step_ms = 150;
constexpr std::size_t max_calls = 400;
const char* const zones[] = {"a", "b", "a"};

std::unique_ptr<pool_dispatcher> make_owner(ports::epoch_number epoch, std::uint64_t first_permit)
{
    auto pool = quotes_pool();
    pool.quick.queue = 4;
    pool.normal.reserved_slots = 1;
    auto made = dispatcher_builder{}.pool(pool).epoch(epoch).first_permit(first_permit).build();
    return std::make_unique<pool_dispatcher>(std::get<pool_dispatcher>(std::move(made)));
}

} // namespace

random_simulation::random_simulation() : document_{document_of(hosts, slots)}
{
    owners_.push_back(make_owner(1, 1));
    set_hosts(*owners_.back(), document_, {}, now_);
    for (std::size_t i = 0; i < senders; ++i)
    {
        request_sender it;
        it.member = "e" + std::to_string(i);
        it.incarnation = "1";
        it.zone = zones[i];
        it.epoch = 1;
        senders_.push_back(it);
        known_owner_.push_back(0);
        processes_.push_back(1);
    }
}

const std::vector<std::string>& random_simulation::violations() const
{
    return violations_;
}

const random_simulation::counts& random_simulation::event_counts() const
{
    return event_counts_;
}

void random_simulation::require(bool holds, const std::string& text)
{
    if (!holds)
    {
        violations_.push_back(text + " at choice " + std::to_string(choices_));
    }
}

void random_simulation::step(std::uint32_t choice)
{
    constexpr std::uint32_t kinds = 32;
    const auto arg = choice / kinds;
    const auto kind = choice % kinds;
    choices_ += 1;
    if (kind < 3)
    {
        start_call(arg);
    }
    else if (kind < 18)
    {
        pass_message(arg, false);
    }
    else if (kind < 19)
    {
        pass_message(arg, true);
    }
    else if (kind < 22)
    {
        advance(core::millis{arg % max_step_ms});
    }
    else if (kind < 27)
    {
        end_run(arg);
    }
    else if (kind < 28)
    {
        toggle_drain(arg);
    }
    else if (kind < 29)
    {
        disconnect_caller(arg);
    }
    else if (kind < 30)
    {
        arg % 4 == 0 ? kill_sender(arg / 4) : disconnect_caller(arg);
    }
    else if (kind < 31 && arg % 4 == 0)
    {
        take_over();
    }
    hand_over_idle_hosts();
}

void random_simulation::settle()
{
    constexpr int rounds = 4000;
    for (int i = 0; i < rounds; ++i)
    {
        while (!messages_.empty())
        {
            pass_message(0, false);
        }
        while (!runs_.empty())
        {
            end_run(0);
        }
        advance(core::millis{max_step_ms});
    }
    for (const auto& it : calls_)
    {
        require(it->caller_gone || it->answers == 1, "a caller has not exactly one answer");
        require(!it->answered_not_run || it->runs == 0, "a request ran after 'not run'");
    }
    for (const auto& it : document_.hosts)
    {
        require(is_certainly_idle(outstanding_on(*owners_.back(), it.id, now_)),
            "a slot is lost permanently");
    }
}

void random_simulation::post(std::function<void()> deliver, std::function<void()> lose)
{
    messages_.push_back({std::move(deliver), std::move(lose)});
}

void random_simulation::pass_message(std::uint32_t arg, bool lost)
{
    if (messages_.empty())
    {
        return;
    }
    const auto index = arg % messages_.size();
    auto it = std::move(messages_[index]);
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    lost ? it.lose() : it.deliver();
}

void random_simulation::start_call(std::uint32_t arg)
{
    if (calls_.size() >= max_calls)
    {
        return;
    }
    auto made = std::make_unique<call>();
    made->sender = arg % senders;
    made->process = processes_[made->sender];
    caller_request request;
    request.pool = "quotes";
    request.klass = static_cast<ports::request_class>(arg / 3 % class_count);
    request.idempotent = arg / 9 % 3 == 0;
    made->keyed = arg / 9 % 3 == 1;
    request.key = made->keyed ? "quotes/" + std::to_string(arg / 27 % key_count) : "";
    request.time_left = core::millis{100 + arg / 135 % 3000};
    calls_.push_back(std::move(made));
    const auto id = calls_.size() - 1;
    perform_all(id, start_flow(calls_[id]->flow, sender_of(id), request, now_));
}

void random_simulation::advance(core::millis by)
{
    now_ += by;
    for (std::size_t i = 0; i < runs_.size();)
    {
        const bool over = runs_[i].ends <= now_;
        const bool disconnected = runs_[i].disconnected;
        if (over && disconnected)
        {
            runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(i));
            continue;
        }
        if (over)
        {
            end_run(i, ports::call_end::interrupted, 0);
        }
        ++i;
    }
    for (std::size_t i = 0; i < calls_.size(); ++i)
    {
        if (is_alive(i) && next_timer(calls_[i]->flow) <= now_)
        {
            perform_all(i, on_timer(calls_[i]->flow, sender_of(i), now_));
        }
    }
    for (std::size_t i = 0; i < owners_.size(); ++i)
    {
        if (next_wakeup(*owners_[i]) <= now_)
        {
            deliver_answers(i, on_tick(*owners_[i], now_));
        }
    }
}

void random_simulation::end_run(std::uint32_t arg)
{
    if (runs_.empty())
    {
        return;
    }
    const auto index = arg % runs_.size();
    if (runs_[index].disconnected)
    {
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
        return;
    }
    using enum ports::call_end;
    struct row
    {
        ports::call_end end;
        int status;
    };
    const row rows[] = {{answered, 200},
        {answered, 200},
        {answered, 200},
        {answered, 500},
        {interrupted, 0},
        {answer_broken, 0},
        {not_sent, 0}};
    const auto& it = rows[arg / 8 % std::size(rows)];
    end_run(index, it.end, it.status);
}

void random_simulation::end_run(std::size_t index, ports::call_end end, int status)
{
    const auto id = runs_[index].call;
    if (end == ports::call_end::interrupted)
    {
        runs_[index].disconnected = true; // the target may go on running the request for a while
        runs_[index].ends = now_ + owners_.back()->settings.max_run_after_disconnect;
    }
    else
    {
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    calls_[id]->runs += end == ports::call_end::not_sent ? 0 : 1;
    ports::http_outcome it;
    it.end = end;
    it.response.status = status;
    // A target runs a request without its connection for no longer than its usual run time.
    it.elapsed = owners_.back()->settings.max_run_after_disconnect;
    perform_all(id, on_outcome(calls_[id]->flow, sender_of(id), it, now_));
}

void random_simulation::toggle_drain(std::uint32_t arg)
{
    auto& host = document_.hosts[arg % hosts];
    auto& mark = marks_[host.id];
    mark.draining = !mark.draining;
    mark.handed_over = false;
    mark.since = now_;
    host.state = mark.draining ? model::host_state::draining : model::host_state::serving;
    for (std::size_t i = 0; i < owners_.size(); ++i)
    {
        deliver_answers(i, set_hosts(*owners_[i], document_, {}, now_));
    }
}

void random_simulation::hand_over_idle_hosts()
{
    for (auto& [host, mark] : marks_)
    {
        if (!mark.draining || mark.handed_over ||
            !is_certainly_idle(outstanding_on(*owners_.back(), host, now_)))
        {
            continue;
        }
        mark.handed_over = true;
        event_counts_.handed_over += 1;
        const auto& name = host;
        require(std::none_of(
                    runs_.begin(), runs_.end(), [&](const auto& it) { return it.host == name; }),
            "an idle host has a request in flight");
    }
}

void random_simulation::disconnect_caller(std::uint32_t arg)
{
    if (calls_.empty())
    {
        return;
    }
    const auto id = arg % calls_.size();
    if (is_alive(id) && calls_[id]->answers == 0 && !calls_[id]->caller_gone)
    {
        calls_[id]->caller_gone = true;
        perform_all(id, on_caller_disconnected(calls_[id]->flow, sender_of(id), now_));
    }
}

/// Ends the process of a sender and starts another one in its place. The connections of the ended
/// process are closed, and the owners receive the proof of its end some time later.
void random_simulation::kill_sender(std::uint32_t arg)
{
    const auto index = arg % senders;
    auto& sender = senders_[index];
    for (auto& it : calls_)
    {
        it->caller_gone =
            it->caller_gone || (it->sender == index && it->process == processes_[index]);
    }
    for (auto& it : runs_)
    {
        if (!it.disconnected && calls_[it.call]->sender == index)
        {
            calls_[it.call]->runs += 1;
            it.disconnected = true;
            it.ends = now_ + owners_.back()->settings.max_run_after_disconnect;
        }
    }
    const auto member = sender.member;
    const auto incarnation = sender.incarnation;
    processes_[index] += 1;
    sender.incarnation = std::to_string(processes_[index]);
    const bool uncounted = !is_ready(*owners_.back());
    std::erase_if(runs_, [&](const auto& it) { return uncounted && !is_alive(it.call); });
    sender.min_permit_epochs.clear();
    const auto report = [this, member, incarnation]
    {
        for (std::size_t i = 0; i < owners_.size(); ++i)
        {
            deliver_answers(i, on_member_lost(*owners_[i], member, incarnation, true, now_));
        }
    };
    post(report, [] {});
}

/// Makes another owner of the pool. The old owner goes on for senders without the new roster.
void random_simulation::take_over()
{
    constexpr std::size_t max_take_overs = 8;
    if (!is_ready(*owners_.back()) || owners_.size() > max_take_overs)
    {
        return;
    }
    event_counts_.take_overs += 1;
    // Requests that a dead process left running are in no member's report. This is a known gap,
    // which sharing-slots.md describes.
    std::erase_if(runs_, [&](const auto& it) { return !is_alive(it.call); });
    const auto epoch = owners_.back()->epoch + 1;
    owners_.push_back(make_owner(epoch, owners_.back()->next_permit));
    take_over_plan plan;
    plan.epoch = epoch;
    plan.report_deadline = core::mono_time::max() - max_use_time(*owners_.back());
    for (const auto& it : senders_)
    {
        plan.queried_members.push_back({it.member, it.incarnation, false, {}});
    }
    begin_take_over(*owners_.back(), plan, now_);
    set_hosts(*owners_.back(), document_, {}, now_);
    for (std::size_t i = 0; i < senders; ++i)
    {
        query_held_permits(i, owners_.size() - 1);
    }
}

void random_simulation::query_held_permits(std::size_t sender, std::size_t owner)
{
    const auto again = [this, sender, owner]
    {
        query_held_permits(sender, owner);
    };
    const auto query = [this, sender, owner, again]
    {
        auto& it = senders_[sender];
        ports::held_reply reply;
        reply.epoch = owners_[owner]->epoch;
        on_held_query(it, {reply.epoch, "", {"quotes"}});
        it.epoch = std::max(it.epoch, reply.epoch);
        known_owner_[sender] = std::max(known_owner_[sender], owner);
        for (std::size_t i = 0; i < calls_.size(); ++i)
        {
            if (calls_[i]->sender != sender || !is_alive(i))
            {
                continue;
            }
            for (const auto& held : held_permits(calls_[i]->flow, now_))
            {
                reply.permits.push_back(held);
            }
            perform_all(i, on_owner_changed(calls_[i]->flow, it, now_));
        }
        const auto report = [this, owner, member = it.member, incarnation = it.incarnation, reply]
        {
            deliver_answers(
                owner, on_held_report(*owners_[owner], member, incarnation, reply, now_));
        };
        post(report, again);
    };
    post(query, again);
}

} // namespace camphorhitch::dispatch::test
