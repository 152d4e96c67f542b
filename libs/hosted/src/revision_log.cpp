#include "revision_log.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

namespace
{

/// Interval for which one sample is kept: the thousands of calls per second of a busy node give no
/// further information.
constexpr core::millis sample_interval{100};
/// Number of intervals kept. They cover 3 s, somewhat more than the maximum age of a count that
/// callers accept.
constexpr std::int64_t max_intervals = 30;

std::int64_t interval_of(core::mono_time t)
{
    return t.time_since_epoch() / sample_interval;
}

} // namespace

void revision_log::record(core::mono_time sent, ports::revision returned_revision)
{
    if (returned_revision <= 0)
    {
        return; // the answer contains no revision
    }
    const auto [sample_entry, added] =
        samples_.try_emplace(interval_of(sent), sample{sent, returned_revision});
    if (!added && returned_revision < sample_entry->second.returned_revision)
    {
        sample_entry->second = {sent, returned_revision};
    }
    const auto newest = samples_.rbegin()->first;
    samples_.erase(samples_.begin(), samples_.lower_bound(newest - max_intervals));
}

std::optional<core::mono_time> revision_log::covered_until(ports::revision through_revision) const
{
    const auto found = std::find_if(samples_.rbegin(),
        samples_.rend(),
        [through_revision](const auto& it)
        { return it.second.returned_revision <= through_revision; });
    return found == samples_.rend() ? std::nullopt : std::optional{found->second.sent};
}

ports::metadata_store with_recorded_revisions(const ports::metadata_store& real,
    const std::function<core::mono_time()>& boot_now,
    const std::shared_ptr<revision_log>& log)
{
    auto out = real;
    out.get = [get = real.get, boot_now, log](const std::string& key,
                  ports::read_freshness fresh,
                  std::function<void(ports::item_read)> done)
    {
        const bool newest = fresh == ports::read_freshness::newest;
        get(key,
            fresh,
            [log, newest, sent = boot_now(), done = std::move(done)](ports::item_read read)
            {
                if (newest && read.status == ports::kv_status::ok)
                {
                    log->record(sent, read.store_revision);
                }
                done(std::move(read));
            });
    };
    out.range = [range = real.range, boot_now, log](const std::string& prefix,
                    const std::string& after,
                    std::function<void(ports::page_read)> done)
    {
        range(prefix,
            after,
            [log, sent = boot_now(), done = std::move(done)](ports::page_read read)
            {
                if (read.status == ports::kv_status::ok)
                {
                    log->record(sent, read.store_revision);
                }
                done(std::move(read));
            });
    };
    out.commit = [commit = real.commit, boot_now, log](
                     ports::store_transaction t, std::function<void(ports::commit_result)> done)
    {
        commit(std::move(t),
            [log, sent = boot_now(), done = std::move(done)](ports::commit_result result)
            {
                if (result.status == ports::kv_status::ok)
                {
                    log->record(sent, result.modified);
                }
                done(std::move(result));
            });
    };
    return out;
}

} // namespace camphorhitch::hosted
