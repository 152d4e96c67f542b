#include "job_reader.hpp"

#include "coordinator/intake.hpp"
#include "coordinator/retention.hpp"
#include "hosted/keys.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <string_view>

namespace camphorhitch::hosted
{

namespace
{

/// \return prefixes that divide the keys of jobs by the first digit of the id; the handover record
/// sorts after them.
std::vector<std::string> parts_by_first_digit(const std::string& prefix)
{
    std::vector<std::string> out;
    for (const char it : std::string_view{"0123456789ABCDEFabcdef~"})
    {
        out.push_back(prefix + it);
    }
    return out;
}

} // namespace

/// On a slow link a page of the store (1 MB) takes longer than a renewal of the lease may wait.
bool reads_in_parts(double link_mbps)
{
    constexpr double page_mbit = 8;
    constexpr double max_page_seconds = 0.35;
    return link_mbps > 0 && page_mbit / link_mbps > max_page_seconds;
}

job_reader::job_reader(term& t) : term_(t), term_started_at_(t.now())
{
    if (reads_in_parts(t.settings.link_mbps))
    {
        state_parts_ = parts_by_first_digit(state_prefix);
    }
}

void job_reader::start(std::function<void()> done)
{
    done_ = std::move(done);
    read_states();
}

ports::revision job_reader::intake_revision() const
{
    return follower_ == nullptr ? 0 : follower_->through_revision();
}

core::mono_time job_reader::last_job_answer_at() const
{
    return follower_ == nullptr ? term_started_at_
                                : std::max(term_started_at_, follower_->last_answer_at());
}

int job_reader::pages_read() const
{
    return state_pages_ + (follower_ == nullptr ? 0 : follower_->pages_read());
}

void job_reader::read_states()
{
    term_.ctx.store.range(state_parts_.empty() ? state_prefix : state_parts_[state_part_],
        last_state_key_,
        term_.guarded([this](ports::page_read page) { apply_states(std::move(page)); }));
}

void job_reader::apply_states(ports::page_read page)
{
    if (page.status != ports::kv_status::ok)
    {
        term_.log(ports::log_level::warning,
            "progress_unread",
            {{"pages", std::to_string(state_pages_)}});
        // The pages read before remain valid: in this term only this coordinator writes progress,
        // and only after this read.
        term_.ctx.time.after(
            term_.settings.store_retry_delay, term_.guarded([this] { read_states(); }));
        return;
    }
    ++state_pages_;
    const bool more = page.more && !page.items.empty();
    last_state_key_ = more ? page.items.back().key : std::string{};
    for (auto& it : page.items)
    {
        const auto id = it.key.substr(state_prefix.size());
        states_[id] = std::move(it);
    }
    state_part_ += more ? 0 : 1;
    if (more || state_part_ < state_parts_.size())
    {
        read_states();
        return;
    }
    follow();
}

void job_reader::follow()
{
    follower_settings s;
    s.prefix = job_prefix;
    if (!state_parts_.empty())
    {
        s.parts = parts_by_first_digit(job_prefix);
    }
    s.watch_delay = term_.settings.job_watch_interval;
    s.max_wait = term_.settings.job_watch_max_wait;
    follower_events events;
    events.on_all = [this](const std::vector<ports::stored_item>& all)
    {
        if (detect_successor(all))
        {
            return;
        }
        apply_items(all);
        record_finished_jobs();
        states_.clear();
        if (done_)
        {
            std::exchange(done_, {})();
        }
    };
    events.on_changes = [this](const std::vector<ports::stored_change>& changes)
    {
        std::vector<ports::stored_item> items;
        for (const auto& it : changes)
        {
            if (!it.removed)
            {
                items.push_back(it.item);
            }
        }
        if (!detect_successor(items))
        {
            apply_items(items);
        }
    };
    follower_ = std::make_unique<prefix_follower>(term_.ctx, s, std::move(events));
    follower_->start();
}

/// Records the finished jobs. A state without a job record belongs to a job that ended before this
/// term.
void job_reader::record_finished_jobs()
{
    const auto now = core::to_unix_ms(term_.ctx.time.wall_now());
    for (const auto& [id, it] : states_)
    {
        const auto end = workflow::read_progress_end(it.value);
        if (core::is_ok(end) && workflow::is_final(core::value(end).state))
        {
            coordinator::record_finished_job(
                term_.fleet, id, core::value(end).unix_ms, it.modified, now);
            coordinator::add_held_resources(
                term_.fleet, core::value(end).workspace, core::value(end).held);
        }
    }
}

/// Ends the term if \p items contain a successor's handover record. A previous coordinator may
/// learn late of its successor from its own key or lease, and meanwhile start jobs that were
/// accepted under the successor, which starts them too. Watches return jobs in the order in which
/// they were stored, and reads return pages in the order of the keys, which are applied together.
/// The successor's handover record therefore arrives before each such job, or in a page that is
/// read after it, so that none of these jobs is ever added to the fleet. \return whether another
/// node has taken over
bool job_reader::detect_successor(const std::vector<ports::stored_item>& items)
{
    const bool over = std::any_of(items.begin(),
        items.end(),
        [this](const ports::stored_item& it)
        { return it.key == handover_key && it.modified > term_.token; });
    if (over)
    {
        term_.step_down_fenced("a successor's handover record among the jobs");
    }
    return over;
}

void job_reader::apply_items(const std::vector<ports::stored_item>& items)
{
    coordinator::task_events out;
    for (const auto& it : items)
    {
        apply_item(it, out);
    }
    term_.log(out);
    record_arrivals();
    term_.request_store_write();
    term_.request_plan();
}

/// Records the arrivals for the demand rates, including those before this term, because the pattern
/// of busy periods depends on them.
void job_reader::record_arrivals()
{
    std::sort(arrivals_.begin(),
        arrivals_.end(),
        [](const auto& a, const auto& b) { return a.accepted_unix_ms < b.accepted_unix_ms; });
    const auto now = term_.now();
    const auto wall = core::to_unix_ms(term_.ctx.time.wall_now());
    for (const auto& it : arrivals_)
    {
        coordinator::rate_job(term_.fleet, *term_.fleet.jobs.at(it.id));
        const auto age = std::max<std::int64_t>(wall - it.accepted_unix_ms, 0);
        term_.on_job_accepted(it, now - core::millis{age});
    }
    arrivals_.clear();
}

/// Records when a job was added and how long after its acceptance. Inherited jobs have no intake
/// delay recorded, because the previous coordinator may have read them in time.
void job_reader::record_added_job(const std::string& id, std::int64_t accepted_unix_ms)
{
    auto& j = *term_.fleet.jobs.at(id);
    j.added_at = term_.now();
    if (!j.inherited)
    {
        const auto wall = core::to_unix_ms(term_.ctx.time.wall_now());
        term_.record_job_read(core::millis{std::max<std::int64_t>(wall - accepted_unix_ms, 0)});
    }
}

void job_reader::log_damaged_record(const ports::stored_item& it, const std::string& reason)
{
    if (should_log(damaged_records_, it))
    {
        term_.log(ports::log_level::error,
            "record_damaged",
            {{"key", it.key}, {"revision", std::to_string(it.modified)}, {"reason", reason}});
    }
}

/// Reads a job record. A record that cannot be read is logged and only its job is skipped; the
/// other jobs continue.
std::optional<workflow::job> job_reader::read_spec(
    const ports::stored_item& it, const std::string& id)
{
    auto read = workflow::read_job(it.value);
    if (!core::is_ok(read))
    {
        log_damaged_record(it, core::failure(read).message);
        return {};
    }
    if (core::value(read).id != id)
    {
        log_damaged_record(it, "the record belongs to another job: " + core::value(read).id);
        return {};
    }
    return std::move(core::value(read));
}

void job_reader::apply_item(const ports::stored_item& it, coordinator::task_events& out)
{
    if (it.key == handover_key)
    {
        return;
    }
    auto id = it.key.substr(job_prefix.size());
    if (id.ends_with(cancel_suffix))
    {
        id.resize(id.size() - cancel_suffix.size());
        coordinator::cancel_job(term_.fleet, id, term_.now(), out);
        return;
    }
    if (term_.fleet.jobs.contains(id) || unreadable_progress_.contains(id))
    {
        return;
    }
    auto spec = read_spec(it, id);
    if (!spec)
    {
        return;
    }
    workflow::job_progress progress;
    ports::revision stored = 0;
    if (const auto state = states_.find(id); state != states_.end())
    {
        stored = state->second.modified;
        auto found = workflow::read_progress(*spec, state->second.value);
        if (!core::is_ok(found))
        {
            // The record of which tasks are done cannot be read. If the job were treated as new,
            // its finished tasks would run a second time.
            log_damaged_record(state->second, core::failure(found).message);
            unreadable_progress_.insert(id);
            return;
        }
        progress = std::move(core::value(found));
    }
    out.push_back({"job_taken",
        id,
        0,
        "",
        "queue=" + spec->queue + " revision=" + std::to_string(it.created) +
            " stored=" + std::to_string(stored)});
    arrivals_.push_back(*spec);
    const auto accepted = spec->accepted_unix_ms;
    coordinator::add_job(term_.fleet, std::move(*spec), it.created, progress, stored);
    record_added_job(id, accepted);
}

} // namespace camphorhitch::hosted
