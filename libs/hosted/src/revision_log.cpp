#include "revision_log.hpp"

#include <algorithm>

namespace camphorhitch::hosted
{

namespace
{

/// One sample is kept for each span: a busy node's thousands of calls a second tell no more.
constexpr core::millis span{100};
/// Samples kept, 3 s of them: somewhat more than the age that a caller accepts of a count.
constexpr std::int64_t spans_kept = 30;

std::int64_t span_of(core::mono_time t)
{
    return t.time_since_epoch() / span;
}

} // namespace

void revision_log::note(core::mono_time sent, ports::revision told)
{
    if (told <= 0)
    {
        return; // the answer named none
    }
    const auto [place, added] = samples_.try_emplace(span_of(sent), sample{sent, told});
    if (!added && told < place->second.told)
    {
        place->second = {sent, told};
    }
    const auto newest = samples_.rbegin()->first;
    samples_.erase(samples_.begin(), samples_.lower_bound(newest - spans_kept));
}

std::optional<core::mono_time> revision_log::covered_until(ports::revision through) const
{
    const auto found = std::find_if(samples_.rbegin(),
        samples_.rend(),
        [through](const auto& it) { return it.second.told <= through; });
    return found == samples_.rend() ? std::nullopt : std::optional{found->second.sent};
}

ports::metadata_store with_revisions_noted(const ports::metadata_store& real,
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
                    log->note(sent, read.store_revision);
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
                    log->note(sent, read.store_revision);
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
                    log->note(sent, result.modified);
                }
                done(std::move(result));
            });
    };
    return out;
}

} // namespace camphorhitch::hosted
