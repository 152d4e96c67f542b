#include "host_reader.hpp"

#include "coordinator/intake.hpp"
#include "hosted/keys.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

using nlohmann::json;

/// Longest value that is accepted from a record. No lease is nearly as long, and a longer time
/// would overflow the clock when it is added to the present time.
constexpr std::uint64_t max_remaining_lease_ms = std::uint64_t{24} * 3600 * 1000;

json write_row(const runner_record& it)
{
    auto row = json::array({it.address, it.machine, it.pool});
    if (it.remaining_lease)
    {
        row.push_back(it.remaining_lease->count());
    }
    return row;
}

std::optional<runner_record> read_row(const json& row)
{
    constexpr std::size_t without_lease = 3;
    constexpr std::size_t with_lease = 4;
    const bool right_size =
        row.is_array() && (row.size() == without_lease || row.size() == with_lease);
    if (!right_size || !row[0].is_string() || !row[1].is_string() || !row[2].is_string())
    {
        return {};
    }
    runner_record out{
        row[0].get<std::string>(), row[1].get<std::string>(), row[2].get<std::string>(), {}};
    if (row.size() == with_lease)
    {
        if (!row[without_lease].is_number_unsigned() ||
            row[without_lease].get<std::uint64_t>() > max_remaining_lease_ms)
        {
            return {};
        }
        out.remaining_lease = core::millis{row[without_lease].get<std::int64_t>()};
    }
    return out;
}

/// \return whether the record names the runner in this pool without an end of its leases: a
/// successor then waits until the runner answers or a whole lease has passed. A row without a start
/// time stands for any incarnation.
bool is_recorded_without_end(
    const runner_records& all, const std::string& id, const std::string& pool)
{
    auto found = all.find(id);
    found = found != all.end() ? found : all.find(std::string(ports::runner_of(id)));
    return found != all.end() && !found->second.remaining_lease && found->second.pool == pool;
}

} // namespace

std::string write_runners(const runner_records& all)
{
    auto out = json::object();
    for (const auto& [id, it] : all)
    {
        out[id] = write_row(it);
    }
    return out.dump();
}

std::optional<runner_records> read_runners(const std::string& text)
{
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object())
    {
        return {};
    }
    runner_records out;
    for (const auto& [id, row] : from.items())
    {
        auto read = read_row(row);
        if (!read)
        {
            return {};
        }
        out.emplace(id, std::move(*read));
    }
    return out;
}

host_reader::host_reader(term& t) : term_(t), list_(t, [this] { apply_list(); })
{
}

void host_reader::start(std::function<void()> done)
{
    done_ = std::move(done);
    read_record();
}

void host_reader::read_record()
{
    term_.ctx.store.get(runners_key,
        ports::read_freshness::newest,
        term_.guarded([this](const ports::item_read& read) { apply_record(read); }));
}

void host_reader::apply_record(const ports::item_read& read)
{
    if (read.status != kv_status::ok)
    {
        term_.ctx.time.after(
            term_.settings.store_retry_delay, term_.guarded([this] { read_record(); }));
        return;
    }
    if (read.item)
    {
        apply_previous_record(*read.item);
    }
    std::exchange(done_, {})();
    list_.start();
    check_liveness();
}

void host_reader::apply_previous_record(const ports::stored_item& item)
{
    record_revision_ = item.modified;
    const auto found = read_runners(item.value);
    if (!found)
    {
        term_.log(ports::log_level::error,
            "record_damaged",
            {{"key", runners_key}, {"revision", std::to_string(item.modified)}});
        coordinator::delay_inherited_tasks(term_.fleet, term_.now());
        return;
    }
    recorded_ = *found;
    std::vector<coordinator::inherited_host> prior;
    for (const auto& [id, it] : recorded_)
    {
        prior.push_back({{id, it.address, {}}, it.machine, it.pool, it.remaining_lease});
    }
    coordinator::add_inherited_hosts(term_.fleet, prior, term_.now());
}

void host_reader::set_pools(const std::vector<pool_settings>& pools)
{
    list_.set_pools(pools);
}

void host_reader::apply_list()
{
    coordinator::task_events out;
    coordinator::apply_host_list(term_.fleet, list_.usable(), term_.now(), out);
    term_.log(out);
    update_host_liveness();
}

/// Runs at liveness_check_interval, since no event reports that a host has become unresponsive. Nor
/// does an event report that the list may name a runner again that was taken for ended: that holds
/// once ended_runner_retention has passed.
void host_reader::check_liveness()
{
    const auto reconsidered_before = term_.now() - term_.fleet.settings.ended_runner_retention;
    const auto& ended = term_.fleet.ended_runners;
    const bool any_reconsidered = std::any_of(ended.begin(),
        ended.end(),
        [&](const auto& it) { return it.second < reconsidered_before; });
    if (any_reconsidered && list_.has_entries())
    {
        apply_list();
    }
    else
    {
        update_host_liveness();
    }
    term_.ctx.time.after(
        term_.settings.liveness_check_interval, term_.guarded([this] { check_liveness(); }));
}

void host_reader::update_host_liveness()
{
    coordinator::task_events out;
    term_.expire_hosts(out);
    term_.log(out);
    update_record();
    term_.request_plan();
}

/// Runners that have ended or never answered are left out, since a successor would wait for their
/// leases in vain. The entry of an unresponsive runner states when its leases end, so that
/// coordinators that follow each other quickly do not each wait for a whole lease.
runner_records host_reader::records_to_store() const
{
    const auto& f = term_.fleet;
    const auto now = term_.now();
    runner_records out;
    for (const auto& [id, h] : f.hosts)
    {
        if (!coordinator::may_hold_runs(f, h, now))
        {
            continue;
        }
        runner_record row{h.ref.address, h.machine, h.pool, {}};
        if (!h.reachable && now - h.unresponsive_since >= f.settings.lease_end_record_delay)
        {
            const auto stored_remaining = stored_remaining_leases_.find(id);
            row.remaining_lease = stored_remaining != stored_remaining_leases_.end()
                                      ? stored_remaining->second
                                      : coordinator::time_to_lease_expiry(f, h, now);
        }
        out.emplace(id, std::move(row));
    }
    return out;
}

/// A runner that is not recorded gets no work: a successor that does not know the runner could not
/// wait for its runs to end, and would start their tasks a second time.
void host_reader::mark_recorded()
{
    for (auto& [id, h] : term_.fleet.hosts)
    {
        h.recorded = is_recorded_without_end(recorded_, id, h.pool) && !unconfirmed_.contains(id);
    }
}

void host_reader::update_record()
{
    if (write_in_flight_)
    {
        return;
    }
    auto wanted = records_to_store();
    if (wanted != recorded_ || last_write_unknown_)
    {
        send_record(std::move(wanted));
    }
    mark_recorded();
}

void host_reader::mark_others_unconfirmed(const runner_records& wanted)
{
    const auto mark = [&](const std::string& id, const std::string& pool)
    {
        if (!is_recorded_without_end(wanted, id, pool))
        {
            unconfirmed_.insert(id);
        }
    };
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        mark(id, h.pool);
    }
    for (const auto& [id, it] : recorded_)
    {
        mark(id, it.pool); // a runner that is left out now may be listed again later
    }
}

void host_reader::send_record(runner_records wanted)
{
    write_in_flight_ = true;
    std::erase_if(
        stored_remaining_leases_, [&](const auto& it) { return !wanted.contains(it.first); });
    for (const auto& [id, it] : wanted)
    {
        if (it.remaining_lease)
        {
            stored_remaining_leases_.emplace(id, *it.remaining_lease);
        }
        else
        {
            stored_remaining_leases_.erase(id);
        }
    }
    last_write_unknown_ = true;
    mark_others_unconfirmed(wanted);
    ports::store_transaction change;
    change.conditions = {{leader_key, term_.token}, {runners_key, record_revision_}};
    change.puts = {{runners_key, write_runners(wanted), 0}};
    term_.ctx.store.commit(std::move(change),
        term_.guarded([this, wanted = std::move(wanted)](const ports::commit_result& result)
            { handle_write_answer(wanted, result); }));
}

void host_reader::handle_write_answer(
    const runner_records& wanted, const ports::commit_result& result)
{
    write_in_flight_ = false;
    if (result.status == kv_status::ok)
    {
        recorded_ = wanted;
        last_write_unknown_ = false;
        unconfirmed_.clear();
        record_revision_ = result.modified;
        update_record();
        term_.request_plan();
        return;
    }
    if (term_.lost_leadership(result))
    {
        return;
    }
    for (const auto& it : result.current)
    {
        if (it.key == runners_key)
        {
            record_revision_ = it.modified; // of an earlier write by this node that had no answer
        }
    }
}

} // namespace camphorhitch::hosted
