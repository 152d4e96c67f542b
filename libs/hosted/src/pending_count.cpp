#include "pending_count.hpp"

#include "hosted/keys.hpp"
#include "job_request_state.hpp"

#include <algorithm>
#include <utility>

namespace camphorhitch::hosted
{

/// A caller's query.
struct pending_query
{
    std::string queue;
    core::mono_time deadline;
    std::function<void(pending_answer)> done;
    const char* unknown_reason = "record_unread"; ///< why the count is not known so far
    ports::revision target_revision = 0; ///< store revision when the record was read for this query
    bool answered = false;
};

namespace
{

using ports::kv_status;

/// Maximum age of a count that the callers' interface allows.
constexpr core::millis max_count_age{2000};

/// Jobs accepted since the record that are cached at most: those of 20 s, the span of the store's
/// change log, at 1,000 per second. With more jobs the count is not known.
constexpr std::size_t max_added_jobs = 20000;

/// Delays after a failed read of the change log, doubled with each failure. The pages have up to
/// 1 MB: on a slow node an immediate retry fails again, and 40 such nodes keep the store busy with
/// pages that are never received; one run had 788 reads in vain.
constexpr core::millis initial_retry_delay{250};
constexpr core::millis max_retry_delay{4000};

using state_ref = std::shared_ptr<job_request_state>;
using query_ref = std::shared_ptr<pending_query>;

std::string ms_text(core::micros t)
{
    return std::to_string(std::chrono::duration_cast<core::millis>(t).count());
}

void record_answer(const job_request_state& state,
    const pending_query& query,
    const char* how,
    ports::log_fields fields)
{
    state.ctx.tel.count("camphorhitch_pending_answers_total", {{"how", how}}, 1);
    fields.insert(fields.begin(), {"queue", query.queue});
    state.ctx.tel.log(ports::log_level::info, "pending_told", std::move(fields));
}

void refuse(const job_request_state& state, pending_query& query)
{
    if (!std::exchange(query.answered, true))
    {
        record_answer(
            state, query, "unknown", {{"outcome", "unknown"}, {"why", query.unknown_reason}});
        query.done({});
    }
}

void refuse(const job_request_state& state, pending_query& query, const char* unknown_reason)
{
    query.unknown_reason = unknown_reason;
    refuse(state, query);
}

/// \return the age of store data up to \p through_revision: the time since a moment before which
/// every accepted job is certainly within that revision. nullopt if that is longer than callers
/// accept.
std::optional<core::micros> age_of(const job_request_state& state, ports::revision through_revision)
{
    const auto covered = state.pending.revisions->covered_until(through_revision);
    if (!covered)
    {
        return {};
    }
    const auto age = state.ctx.boot_now() - *covered;
    return age <= max_count_age ? std::optional<core::micros>{age} : std::nullopt;
}

void answer_query(
    const job_request_state& state, pending_query& query, bool extended, core::micros age)
{
    const auto& cache = state.pending;
    const int added_count = extended ? cache.tally.added_count(query.queue) : 0;
    const int jobs = cache.tally.recorded_count(query.queue) + added_count;
    const auto through_revision =
        extended ? cache.tally.through_revision() : cache.tally.base_through_revision();
    query.answered = true;
    const char* const how = extended ? "extended" : "record";
    record_answer(state,
        query,
        how,
        {{"outcome", "told"},
            {"how", how},
            {"jobs", std::to_string(jobs)},
            {"added", std::to_string(added_count)},
            {"as_of_ms", ms_text(age)},
            {"through", std::to_string(through_revision)},
            {"record_revision", std::to_string(cache.record_revision)},
            {"store_revision", std::to_string(cache.latest_store_revision)},
            {"cached_ms", ms_text(state.ctx.boot_now() - *cache.read_at)}});
    query.done({true, jobs});
}

/// \return whether the cached data was fresh enough, so that the query is answered.
bool answer_if_fresh(const job_request_state& state, pending_query& query)
{
    const auto& tally = state.pending.tally;
    if (const auto age = age_of(state, tally.base_through_revision()))
    {
        answer_query(state, query, false, *age);
        return true;
    }
    if (const auto age = age_of(state, tally.through_revision()))
    {
        answer_query(state, query, true, *age);
        return true;
    }
    return false;
}

/// \return the reason why the count is not known; nullptr if the record was read.
const char* apply_record(job_request_state& state, const ports::item_read& read)
{
    auto& cache = state.pending;
    cache.read_at = state.ctx.boot_now();
    cache.latest_store_revision = read.store_revision;
    if (!read.item)
    {
        return "record_missing";
    }
    if (read.item->modified <= cache.record_revision)
    {
        return nullptr; // the record is cached already, or the answer is outdated
    }
    auto record = read_pending(read.item->value);
    if (!core::is_ok(record))
    {
        state.ctx.tel.log(ports::log_level::error,
            "record_damaged",
            {{"key", pending_key},
                {"revision", std::to_string(read.item->modified)},
                {"reason", core::failure(record).message}});
        return "record_damaged";
    }
    cache.record_revision = read.item->modified;
    cache.tally.set_base(std::move(core::value(record)));
    return nullptr;
}

void read_record(const state_ref& state, const query_ref& query);

void retry_later(const state_ref& state,
    const query_ref& query,
    void (*next)(const state_ref& state, const query_ref& query))
{
    if (!state->has_time(query->deadline))
    {
        refuse(*state, *query);
        return;
    }
    state->run_after_retry_delay(
        [state, query, next]
        {
            if (!query->answered)
            {
                next(state, query);
            }
        });
}

void request_change_log(const state_ref& state, const query_ref& query);

/// Answers the query if the cached data allows it; otherwise the query continues to wait.
void process_query(const state_ref& state, const query_ref& query)
{
    const auto& cache = state->pending;
    if (query->answered || answer_if_fresh(*state, *query))
    {
        return;
    }
    if (cache.tally.through_revision() >= query->target_revision)
    {
        query->unknown_reason = "store_slow"; // every call took longer than max_count_age
        retry_later(state, query, &read_record);
        return;
    }
    request_change_log(state, query);
}

void handle_failed_read(job_request_state& state)
{
    auto& cache = state.pending;
    constexpr int max_doublings = 4;
    const auto delay =
        initial_retry_delay * (1 << std::min(cache.failed_change_log_reads, max_doublings));
    cache.next_change_log_read_at = state.ctx.boot_now() + std::min(delay, max_retry_delay);
    ++cache.failed_change_log_reads;
}

void apply_change_log(
    const state_ref& state, ports::revision after, const ports::changes_read& read)
{
    auto& cache = state->pending;
    cache.reading_change_log = false;
    const auto waiting_queries = std::exchange(cache.waiting_queries, {});
    const char* lost = read.change_log_truncated ? "history_lost" : nullptr;
    if (lost == nullptr && read.status != kv_status::ok)
    {
        handle_failed_read(*state);
    }
    else if (lost == nullptr)
    {
        cache.failed_change_log_reads = 0;
        // Without progress the next read is delayed, because each read costs the store the same
        // again.
        const bool advanced = read.store_revision > after;
        cache.next_change_log_read_at =
            state->ctx.boot_now() + (advanced ? core::millis{0} : initial_retry_delay);
        // Otherwise an older record has reset the tally meanwhile.
        if (cache.tally.through_revision() >= after)
        {
            cache.tally.add_changes(read.changes, read.store_revision);
            cache.read_at = state->ctx.boot_now();
        }
        if (cache.tally.size() > max_added_jobs)
        {
            cache.tally = {};
            cache.record_revision = 0;
            // An immediate read would exceed the limit again.
            cache.next_change_log_read_at = state->ctx.boot_now() + max_retry_delay;
            lost = "too_many_jobs";
        }
    }
    for (const auto& it : waiting_queries)
    {
        if (lost != nullptr)
        {
            refuse(*state, *it, lost);
        }
        else
        {
            process_query(state, it);
        }
    }
}

void read_change_log(const state_ref& state)
{
    auto& cache = state->pending;
    std::erase_if(cache.waiting_queries, [](const query_ref& it) { return it->answered; });
    if (cache.waiting_queries.empty())
    {
        cache.reading_change_log = false;
        return;
    }
    const auto after = cache.tally.through_revision();
    state->ctx.store.watch(job_prefix,
        after,
        core::millis{0},
        [state, after](const ports::changes_read& read) { apply_change_log(state, after, read); });
}

/// Registers a query for the next read of the change log. While there is no coordinator no task
/// starts, so the sum of the record and of the jobs accepted since is exact. If the coordinator
/// lags, the sum is too high by the jobs that it started meanwhile. One read at a time serves all
/// waiting queries.
void request_change_log(const state_ref& state, const query_ref& query)
{
    auto& cache = state->pending;
    query->unknown_reason = "history_unread";
    cache.waiting_queries.push_back(query);
    if (std::exchange(cache.reading_change_log, true))
    {
        return;
    }
    const auto delay =
        std::chrono::ceil<core::millis>(cache.next_change_log_read_at - state->ctx.boot_now());
    if (delay <= core::millis{0})
    {
        read_change_log(state);
        return;
    }
    state->ctx.time.after(delay,
        [weak = std::weak_ptr{state}]
        {
            if (const auto self = weak.lock())
            {
                read_change_log(self);
            }
        });
}

void read_record(const state_ref& state, const query_ref& query)
{
    query->unknown_reason = "record_unread";
    state->ctx.store.get(pending_key,
        ports::read_freshness::newest,
        [state, query](const ports::item_read& read)
        {
            if (query->answered)
            {
                return;
            }
            if (read.status != kv_status::ok)
            {
                retry_later(state, query, &read_record);
                return;
            }
            if (const char* const unknown_reason = apply_record(*state, read))
            {
                refuse(*state, *query, unknown_reason);
                return;
            }
            query->target_revision = read.store_revision;
            process_query(state, query);
        });
}

} // namespace

void count_pending(const std::shared_ptr<job_request_state>& state,
    const std::string& queue,
    core::mono_time deadline,
    std::function<void(pending_answer)> done)
{
    const auto query = std::make_shared<pending_query>();
    query->queue = queue;
    query->deadline = deadline;
    query->done = std::move(done);
    const auto& read_at = state->pending.read_at;
    const bool is_cached =
        read_at && state->ctx.boot_now() - *read_at < state->settings.cached_count_max_age;
    if (is_cached && answer_if_fresh(*state, *query))
    {
        return;
    }
    state->run_at_deadline(deadline, [state = state.get(), query] { refuse(*state, *query); });
    read_record(state, query);
}

} // namespace camphorhitch::hosted
