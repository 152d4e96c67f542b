#include "service.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::standin_kv
{

using nlohmann::json;
using standin_support::json_response;
using standin_support::object_reader;

ports::http_response service::on_control(const ports::http_request& r)
{
    object_reader command(r.body);
    gate_.control(command);
    end_partitioned_watches();
    command.read_share("stale_reads", stale_reads_);
    command.read("stale_revisions", stale_revisions_);
    command.read("writes_per_second", limiter_.limits.writes);
    command.read("reads_per_second", limiter_.limits.reads);
    std::int64_t lag_ms = 0;
    if (command.read("watch_lag_ms", lag_ms))
    {
        watch_lag_ = core::millis{lag_ms};
    }
    return standin_support::control_answer(command);
}

ports::http_response service::stats() const
{
    auto all = to_json(counts_);
    all["revision"] = store_.revision;
    all["keys"] = read(store_, {std::string(1, '\0'), std::string(1, '\0')}).size();
    all["leases"] = store_.leases.size();
    all["watches"] = watches_.size();
    all["connections"] = port_->counts().open;
    all["lost_answers"] = gate_.lost_answers();
    all["out"] = gate_.has_outage();
    return json_response(200, all);
}

ports::http_response service::history(const ports::http_request& r) const
{
    const auto from = standin_support::query_value(r.query, "from_revision");
    const auto prefix = standin_support::query_value(r.query, "prefix");
    json all = json::array();
    for (auto i = position_of(store_, std::atoll(from.c_str())); i < store_.history.size(); ++i)
    {
        const auto& it = store_.history[i];
        if (!it.now.key.starts_with(prefix))
        {
            continue;
        }
        json one = {{"key", it.now.key},
            {"revision", it.now.mod_revision},
            {"at_ms", it.at_ms},
            {"lease", it.now.lease}};
        one[it.deleted ? "deleted" : "value"] = it.deleted ? json(true) : json(it.now.value);
        if (it.value_dropped)
        {
            one["value_dropped"] = true;
        }
        all.push_back(std::move(one));
    }
    return json_response(200, {{"changes", all}});
}

} // namespace camphorhitch::standin_kv
