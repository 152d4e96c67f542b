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

/// No lease is nearly as long; a longer time would overflow the clocks when it is added to now.
constexpr std::uint64_t longest_rest_ms = std::uint64_t{24} * 3600 * 1000;

json write_row(const runner_record& it)
{
    auto row = json::array({it.address, it.machine, it.pool});
    if (it.rest)
    {
        row.push_back(it.rest->count());
    }
    return row;
}

std::optional<runner_record> read_row(const json& row)
{
    constexpr std::size_t plain = 3;
    constexpr std::size_t with_rest = 4;
    const bool sized = row.is_array() && (row.size() == plain || row.size() == with_rest);
    if (!sized || !row[0].is_string() || !row[1].is_string() || !row[2].is_string())
    {
        return {};
    }
    runner_record out{
        row[0].get<std::string>(), row[1].get<std::string>(), row[2].get<std::string>(), {}};
    if (row.size() == with_rest)
    {
        if (!row[plain].is_number_unsigned() || row[plain].get<std::uint64_t>() > longest_rest_ms)
        {
            return {};
        }
        out.rest = core::millis{row[plain].get<std::int64_t>()};
    }
    return out;
}

/// \return whether the record tells a successor to wait for the runner until it is heard.
bool is_plain_in(const runner_records& all, const std::string& id, const std::string& pool)
{
    const auto found = all.find(id);
    return found != all.end() && !found->second.rest && found->second.pool == pool;
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

host_reader::host_reader(term& t) : term_(t), list_(t, [this] { take_list(); })
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
        term_.guarded([this](const ports::item_read& read) { take_record(read); }));
}

void host_reader::take_record(const ports::item_read& read)
{
    if (read.status != kv_status::ok)
    {
        term_.ctx.time.after(term_.settings.store_retry, term_.guarded([this] { read_record(); }));
        return;
    }
    if (read.item)
    {
        take_former(*read.item);
    }
    std::exchange(done_, {})();
    list_.start();
    watch_silence();
}

void host_reader::take_former(const ports::stored_item& item)
{
    record_revision_ = item.modified;
    const auto found = read_runners(item.value);
    if (!found)
    {
        term_.log(ports::log_level::error,
            "record_damaged",
            {{"key", runners_key}, {"revision", std::to_string(item.modified)}});
        coordinator::hold_inherited(term_.fleet, term_.now());
        return;
    }
    recorded_ = *found;
    std::vector<coordinator::inherited_host> prior;
    for (const auto& [id, it] : recorded_)
    {
        prior.push_back({{id, it.address, {}}, it.machine, it.pool, it.rest});
    }
    coordinator::add_prior_hosts(term_.fleet, prior, term_.now());
}

void host_reader::set_pools(const std::vector<pool_settings>& pools)
{
    list_.set_pools(pools);
}

void host_reader::take_list()
{
    coordinator::task_events out;
    coordinator::see_hosts(term_.fleet, list_.usable(), term_.now(), out);
    term_.log(out);
    judge_hosts();
}

/// Silence shows by time alone, and so does that the list of runners may be believed again.
void host_reader::watch_silence()
{
    const auto believed_from = term_.now() - term_.fleet.settings.ended_runner_retention;
    const auto& ended = term_.fleet.ended_runners;
    const bool again = std::any_of(
        ended.begin(), ended.end(), [&](const auto& it) { return it.second < believed_from; });
    if (again && list_.has_entries())
    {
        take_list();
    }
    else
    {
        judge_hosts();
    }
    term_.ctx.time.after(
        term_.settings.hosts_judged_every, term_.guarded([this] { watch_silence(); }));
}

void host_reader::judge_hosts()
{
    coordinator::task_events out;
    term_.lapse_hosts(out);
    term_.log(out);
    record();
    term_.wake();
}

/// Runners that have ended, or never answered, are left out: a successor would wait for their
/// leases in vain. Of a silent one it is told when its leases end, so that owners that follow each
/// other quickly don't each wait for a whole lease anew.
runner_records host_reader::wanted_records() const
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
            const auto told = told_.find(id);
            row.rest = told != told_.end() ? told->second : coordinator::time_to_lapse(f, h, now);
        }
        out.emplace(id, std::move(row));
    }
    return out;
}

/// A runner that is in no record gets no work: a successor which does not know of it could not wait
/// for its runs to end, and would start them a second time.
void host_reader::mark_recorded()
{
    for (auto& [id, h] : term_.fleet.hosts)
    {
        h.recorded = is_plain_in(recorded_, id, h.pool) && !doubted_.contains(id);
    }
}

void host_reader::record()
{
    if (recording_)
    {
        return;
    }
    auto wanted = wanted_records();
    if (wanted != recorded_ || unsure_)
    {
        send_record(std::move(wanted));
    }
    mark_recorded();
}

void host_reader::doubt_all_but(const runner_records& wanted)
{
    const auto judge = [&](const std::string& id, const std::string& pool)
    {
        if (!is_plain_in(wanted, id, pool))
        {
            doubted_.insert(id);
        }
    };
    for (const auto& [id, h] : term_.fleet.hosts)
    {
        judge(id, h.pool);
    }
    for (const auto& [id, it] : recorded_)
    {
        judge(id, it.pool); // also one that is left out now may be listed again
    }
}

void host_reader::send_record(runner_records wanted)
{
    recording_ = true;
    std::erase_if(told_, [&](const auto& it) { return !wanted.contains(it.first); });
    for (const auto& [id, it] : wanted)
    {
        if (it.rest)
        {
            told_.emplace(id, *it.rest);
        }
        else
        {
            told_.erase(id);
        }
    }
    unsure_ = true;
    doubt_all_but(wanted);
    ports::store_transaction change;
    change.conditions = {{leader_key, term_.token}, {runners_key, record_revision_}};
    change.puts = {{runners_key, write_runners(wanted), 0}};
    term_.ctx.store.commit(std::move(change),
        term_.guarded([this, wanted = std::move(wanted)](const ports::commit_result& result)
            { take_write(wanted, result); }));
}

void host_reader::take_write(const runner_records& wanted, const ports::commit_result& result)
{
    recording_ = false;
    if (result.status == kv_status::ok)
    {
        recorded_ = wanted;
        unsure_ = false;
        doubted_.clear();
        record_revision_ = result.modified;
        record();
        term_.wake();
        return;
    }
    if (term_.lost_key(result))
    {
        return;
    }
    for (const auto& it : result.current)
    {
        if (it.key == runners_key)
        {
            record_revision_ = it.modified; // an unanswered try of this node's own
        }
    }
}

} // namespace camphorhitch::hosted
