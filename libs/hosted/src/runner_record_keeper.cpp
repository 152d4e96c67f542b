#include "runner_record_keeper.hpp"

#include "coordinator/intake.hpp"
#include "hosted/keys.hpp"
#include "hosted/range_reader.hpp"
#include "ports/incarnation.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

/// Value of the undivided record once its rows are in the buckets. Versions that know only that
/// record read it as damaged, and so wait for all leases.
const std::string retired_record = "\"divided\"";
/// A transaction has at most 32 conditions and puts; one condition is the leader key.
constexpr std::size_t max_buckets_per_write = 15;

/// \return whether the rows name the runner in this pool without an earlier end of its leases: a
/// successor then waits until the runner answers or a whole lease has passed. A row without a start
/// time stands for any incarnation.
bool is_recorded_without_end(const coordinator::fleet& f,
    const runner_records& all,
    const std::string& id,
    const std::string& pool)
{
    auto found = all.find(id);
    found = found != all.end() ? found : all.find(std::string(ports::runner_of(id)));
    return found != all.end() && coordinator::may_grant_leases(f, found->second.remaining_lease) &&
           found->second.pool == pool;
}

/// Calls \p fn for each host that the row's id may stand for.
template <class Fn>
void for_each_host(coordinator::fleet& f, const std::string& row_id, Fn fn)
{
    const auto exact = f.hosts.find(row_id);
    if (exact != f.hosts.end())
    {
        fn(exact->second);
    }
    if (ports::read_incarnation(row_id).born_ms != 0)
    {
        return;
    }
    for (auto it = f.hosts.lower_bound(row_id + '/');
         it != f.hosts.end() && ports::is_same_runner(it->first, row_id);
         ++it)
    {
        fn(it->second);
    }
}

} // namespace

runner_record_keeper::runner_record_keeper(term& t) : term_(t)
{
}

void runner_record_keeper::start(std::function<void()> done)
{
    done_ = std::move(done);
    read();
}

void runner_record_keeper::read()
{
    const auto items = std::make_shared<std::vector<ports::stored_item>>();
    read_range(
        term_.ctx,
        runners_key,
        [items](const ports::stored_item& it) { items->push_back(it); },
        term_.guarded(
            [this, items](bool complete)
            {
                if (complete)
                {
                    apply(*items);
                    return;
                }
                term_.ctx.time.after(
                    term_.settings.store_retry_delay, term_.guarded([this] { read(); }));
            }));
}

void runner_record_keeper::apply(const std::vector<ports::stored_item>& items)
{
    for (const auto& it : items)
    {
        apply_item(it);
    }
    std::vector<coordinator::inherited_host> prior;
    for (const auto& b : buckets_)
    {
        for (const auto& [id, it] : b.recorded)
        {
            prior.push_back({{id, it.address, {}}, it.machine, it.pool, it.remaining_lease});
        }
    }
    coordinator::add_inherited_hosts(term_.fleet, prior, term_.now());
    std::exchange(done_, {})();
}

void runner_record_keeper::apply_item(const ports::stored_item& item)
{
    const bool undivided = item.key == runners_key;
    const auto number = read_runner_bucket_key(item.key);
    if (undivided)
    {
        undivided_revision_ = item.modified;
        undivided_retired_ = item.value == retired_record;
    }
    else if (number)
    {
        buckets_[*number].revision = item.modified;
    }
    if (undivided_retired_ && undivided)
    {
        return;
    }
    const auto rows = undivided || number ? read_runners(item.value) : runner_records{};
    if (!rows)
    {
        term_.log(ports::log_level::error,
            "record_damaged",
            {{"key", item.key}, {"revision", std::to_string(item.modified)}});
        coordinator::delay_inherited_tasks(term_.fleet, term_.now());
        return;
    }
    add_rows(*rows, undivided);
}

/// A runner may be in the undivided record and in a bucket, if versions that know only the former
/// led in between. Of two rows, the one without an end of its leases counts.
void runner_record_keeper::add_rows(const runner_records& rows, bool undivided)
{
    for (const auto& [id, row] : rows)
    {
        auto& b = buckets_[bucket_of_runner(id)];
        const auto [it, added] = b.recorded.try_emplace(id, row);
        if (!added && !row.remaining_lease)
        {
            it->second = row;
        }
        b.has_undivided_rows = b.has_undivided_rows || undivided;
        b.touched = true;
    }
}

/// Runners that have ended or never answered have no row, since a successor would wait for their
/// leases in vain. The row of an unresponsive runner states when its leases end, so that
/// coordinators that follow each other quickly do not each wait for a whole lease. While a call for
/// an earlier incarnation may have granted a lease, the row states the longest that there can be.
std::optional<runner_record> runner_record_keeper::wanted_row(
    const coordinator::host_entry& h, const bucket& of) const
{
    const auto& f = term_.fleet;
    const auto now = term_.now();
    if (!coordinator::may_hold_runs(f, h, now))
    {
        return {};
    }
    runner_record row{h.ref.address, h.machine, h.pool, {}};
    if (!h.reachable && now - h.unresponsive_since >= f.settings.lease_end_record_delay)
    {
        const auto stored = of.stored_remaining_leases.find(h.ref.id);
        row.remaining_lease = stored != of.stored_remaining_leases.end()
                                  ? stored->second
                                  : coordinator::time_to_lease_expiry(f, h, now);
    }
    else if (now < h.earlier_leases_end_at)
    {
        row.remaining_lease = coordinator::max_lease_time(f);
    }
    return row;
}

void runner_record_keeper::update_row(const std::string& host)
{
    const auto h = term_.fleet.hosts.find(host);
    if (h == term_.fleet.hosts.end())
    {
        return;
    }
    auto& b = buckets_[bucket_of_runner(host)];
    auto row = wanted_row(h->second, b);
    const auto known = b.wanted.find(host);
    const bool same =
        row ? known != b.wanted.end() && known->second == *row : known == b.wanted.end();
    if (!same)
    {
        b.touched = true;
        if (row)
        {
            b.wanted.insert_or_assign(host, std::move(*row));
        }
        else
        {
            b.wanted.erase(known);
        }
    }
    update_recorded(h->second);
}

/// A runner that is not recorded gets no work: a successor that does not know the runner could not
/// wait for its runs to end, and would start their tasks a second time.
void runner_record_keeper::update_recorded(coordinator::host_entry& h)
{
    const auto& b = buckets_[bucket_of_runner(h.ref.id)];
    h.recorded = is_recorded_without_end(term_.fleet, b.recorded, h.ref.id, h.pool) &&
                 !b.unconfirmed.contains(h.ref.id);
}

void runner_record_keeper::update_recorded(const runner_records& rows)
{
    for (const auto& [id, row] : rows)
    {
        for_each_host(term_.fleet, id, [this](coordinator::host_entry& h) { update_recorded(h); });
    }
}

void runner_record_keeper::update(const std::string& host)
{
    update_row(host);
    request_write();
}

void runner_record_keeper::update_all()
{
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        update_row(id);
    }
    for (auto& b : buckets_)
    {
        const auto gone = std::erase_if(
            b.wanted, [&](const auto& it) { return !term_.fleet.hosts.contains(it.first); });
        b.touched = b.touched || gone > 0 || b.last_write_unknown;
    }
    request_write();
    retire_undivided_record();
}

void runner_record_keeper::request_write()
{
    const bool any = std::any_of(buckets_.begin(),
        buckets_.end(),
        [](const bucket& b) { return b.touched && !b.write_in_flight; });
    if (!any || write_scheduled_)
    {
        return;
    }
    const auto delay = written_at_ + term_.settings.store_write_delay - term_.now();
    if (delay <= core::micros{0})
    {
        write();
        return;
    }
    write_scheduled_ = true;
    term_.ctx.time.after(std::chrono::ceil<core::millis>(delay),
        term_.guarded(
            [this]
            {
                write_scheduled_ = false;
                write();
            }));
}

void runner_record_keeper::write()
{
    written_at_ = term_.now();
    std::vector<std::size_t> batch;
    for (std::size_t i = 0; i < buckets_.size(); ++i)
    {
        auto& b = buckets_[i];
        if (!b.touched || b.write_in_flight)
        {
            continue;
        }
        b.touched = false;
        if (b.wanted == b.recorded && !b.last_write_unknown && !b.has_undivided_rows)
        {
            continue;
        }
        batch.push_back(i);
        if (batch.size() == max_buckets_per_write)
        {
            send(std::exchange(batch, {}));
        }
    }
    if (!batch.empty())
    {
        send(batch);
    }
}

void runner_record_keeper::mark_unconfirmed(bucket& of)
{
    for (const auto& [id, row] : of.recorded)
    {
        // A runner that is left out now may be listed again later.
        if (!is_recorded_without_end(term_.fleet, of.wanted, id, row.pool))
        {
            of.unconfirmed.insert(id);
        }
        for_each_host(term_.fleet,
            id,
            [&](const coordinator::host_entry& h)
            {
                if (!is_recorded_without_end(term_.fleet, of.wanted, h.ref.id, h.pool))
                {
                    of.unconfirmed.insert(h.ref.id);
                }
            });
    }
}

void runner_record_keeper::send(const std::vector<std::size_t>& buckets)
{
    ports::store_transaction change;
    change.conditions = {{leader_key, term_.token}};
    std::vector<runner_records> sent;
    for (const auto i : buckets)
    {
        auto& b = buckets_[i];
        b.write_in_flight = true;
        b.last_write_unknown = true;
        b.stored_remaining_leases.clear();
        for (const auto& [id, it] : b.wanted)
        {
            if (!coordinator::may_grant_leases(term_.fleet, it.remaining_lease))
            {
                b.stored_remaining_leases.emplace(id, *it.remaining_lease);
            }
        }
        mark_unconfirmed(b);
        update_recorded(b.recorded);
        const auto key = runner_bucket_key(i);
        change.conditions.push_back({key, b.revision});
        change.puts.push_back({key, write_runners(b.wanted), 0});
        sent.push_back(b.wanted);
    }
    term_.ctx.store.commit(std::move(change),
        term_.guarded([this, buckets, sent = std::move(sent)](const ports::commit_result& result)
            { handle_write_answer(buckets, sent, result); }));
}

void runner_record_keeper::handle_write_answer(const std::vector<std::size_t>& buckets,
    const std::vector<runner_records>& sent,
    const ports::commit_result& result)
{
    for (const auto i : buckets)
    {
        buckets_[i].write_in_flight = false;
    }
    if (result.status == kv_status::ok)
    {
        for (std::size_t n = 0; n < buckets.size(); ++n)
        {
            auto& b = buckets_[buckets[n]];
            const auto before = std::exchange(b.recorded, sent[n]);
            b.last_write_unknown = false;
            b.has_undivided_rows = false;
            b.unconfirmed.clear();
            b.revision = result.modified;
            b.touched = b.touched || b.wanted != b.recorded;
            update_recorded(before);
            update_recorded(b.recorded);
        }
        request_write();
        term_.request_plan();
        return;
    }
    if (term_.lost_leadership(result))
    {
        return;
    }
    for (const auto& it : result.current)
    {
        if (const auto i = read_runner_bucket_key(it.key))
        {
            buckets_[*i].revision = it.modified; // of an earlier write that had no answer
        }
    }
}

/// Once all rows are in the buckets.
void runner_record_keeper::retire_undivided_record()
{
    const bool divided = std::none_of(
        buckets_.begin(), buckets_.end(), [](const bucket& b) { return b.has_undivided_rows; });
    if (undivided_retired_ || retiring_in_flight_ || !divided)
    {
        return;
    }
    retiring_in_flight_ = true;
    ports::store_transaction change;
    change.conditions = {{leader_key, term_.token}, {runners_key, undivided_revision_}};
    change.puts = {{runners_key, retired_record, 0}};
    term_.ctx.store.commit(std::move(change),
        term_.guarded(
            [this](const ports::commit_result& result)
            {
                retiring_in_flight_ = false;
                undivided_retired_ = result.status == kv_status::ok;
                for (const auto& it : result.current)
                {
                    if (it.key == runners_key)
                    {
                        undivided_revision_ = it.modified;
                    }
                }
            }));
}

} // namespace camphorhitch::hosted
