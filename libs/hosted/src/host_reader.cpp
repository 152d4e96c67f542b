#include "host_reader.hpp"

#include "coordinator/intake.hpp"
#include "hosted/keys.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorhitch::hosted
{

using ports::kv_status;

std::string write_runners(const runner_records& all)
{
    auto out = nlohmann::json::object();
    for (const auto& [id, it] : all)
    {
        out[id] = {it.address, it.machine};
    }
    return out.dump();
}

runner_records read_runners(const std::string& text)
{
    const auto from = nlohmann::json::parse(text, nullptr, false);
    runner_records out;
    if (!from.is_object())
    {
        return out;
    }
    for (const auto& [id, row] : from.items())
    {
        if (row.is_array() && row.size() == 2 && row[0].is_string() && row[1].is_string())
        {
            out[id] = {row[0].get<std::string>(), row[1].get<std::string>()};
        }
    }
    return out;
}

host_reader::host_reader(term& t) : term_(t)
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
        record_revision_ = read.item->modified;
        recorded_ = read_runners(read.item->value);
        std::vector<coordinator::prior_host> prior;
        for (const auto& [id, it] : recorded_)
        {
            prior.push_back({{id, it.address}, it.machine});
        }
        coordinator::add_prior_hosts(term_.fleet, prior, term_.now());
    }
    std::exchange(done_, {})();
    read_list();
}

void host_reader::read_list()
{
    items_.clear();
    read_page({});
}

void host_reader::read_page(const std::string& after)
{
    term_.ctx.store.range(term_.spelling->runner_prefix,
        after,
        term_.guarded([this](ports::page_read page) { take_page(std::move(page)); }));
}

void host_reader::take_page(ports::page_read page)
{
    if (page.status == kv_status::ok)
    {
        std::move(page.items.begin(), page.items.end(), std::back_inserter(items_));
        if (page.more && !items_.empty())
        {
            read_page(items_.back().key);
            return;
        }
        take_list();
    }
    term_.ctx.time.after(term_.settings.hosts_every, term_.guarded([this] { read_list(); }));
}

void host_reader::take_list()
{
    std::vector<coordinator::host_listing> all;
    for (const auto& it : items_)
    {
        const auto id = it.key.substr(term_.spelling->runner_prefix.size());
        auto read = term_.spelling->read_runner(id, it.value);
        if (core::is_ok(read))
        {
            all.push_back(std::move(core::value(read)));
        }
        else
        {
            term_.log(ports::log_level::error,
                "runner_entry_damaged",
                {{"host", id}, {"reason", core::failure(read).message}});
        }
    }
    coordinator::task_events out;
    coordinator::see_hosts(term_.fleet, all, term_.now(), out);
    coordinator::lapse_hosts(term_.fleet, term_.now(), out);
    term_.log(out);
    record();
    term_.wake();
}

/// A runner that is in no record gets no work: a successor which does not know of it could not wait
/// for its runs to end, and would start them a second time.
void host_reader::record()
{
    runner_records wanted;
    for (auto& [id, h] : term_.fleet.hosts)
    {
        wanted[id] = {h.ref.address, h.machine};
        h.recorded = recorded_.contains(id);
    }
    // Runners that have ended leave it soon: a successor would wait for their leases in vain.
    if (recording_ || wanted == recorded_)
    {
        return;
    }
    recording_ = true;
    ports::store_transaction change;
    change.conditions = {{leader_key, term_.token}, {runners_key, record_revision_}};
    change.puts = {{runners_key, write_runners(wanted), 0}};
    term_.ctx.store.commit(std::move(change),
        term_.guarded(
            [this, wanted](const ports::commit_result& result)
            {
                recording_ = false;
                if (result.status == kv_status::ok)
                {
                    recorded_ = wanted;
                    record_revision_ = result.modified;
                    record();
                    term_.wake();
                    return;
                }
                for (const auto& it : result.current)
                {
                    if (it.key == runners_key)
                    {
                        record_revision_ = it.modified; // an unanswered try of this node's own
                    }
                }
            }));
}

} // namespace camphorhitch::hosted
