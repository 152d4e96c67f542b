#include "counts.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace camphorhitch::standin_kv
{

namespace
{

kind_counts& counts_of(call_counts& c, call_kind kind)
{
    return c.kinds.at(static_cast<std::size_t>(kind));
}

void count_second(second_counts& c, core::mono_time now)
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    c.now = c.second == second ? c.now + 1 : 1;
    c.second = second;
    c.max = std::max(c.max, c.now);
}

bool take_token(rate_limiter::bucket& b, std::int64_t limit, core::mono_time now)
{
    if (limit == 0)
    {
        return true;
    }
    const auto rate = static_cast<double>(limit);
    const std::chrono::duration<double> elapsed = now - b.filled;
    b.tokens = b.used ? std::min(rate, b.tokens + elapsed.count() * rate) : rate;
    b.used = true;
    b.filled = now;
    if (b.tokens < 1)
    {
        return false;
    }
    b.tokens -= 1;
    return true;
}

} // namespace

void count_call(call_counts& c, call_kind kind, std::size_t bytes_in, core::mono_time now)
{
    auto& counts = counts_of(c, kind);
    ++counts.calls;
    counts.bytes_in += static_cast<std::int64_t>(bytes_in);
    count_second(is_write(kind) ? c.writes : c.reads, now);
}

void count_answer(call_counts& c, call_kind kind, std::size_t bytes_out)
{
    counts_of(c, kind).bytes_out += static_cast<std::int64_t>(bytes_out);
}

nlohmann::json to_json(const call_counts& c)
{
    nlohmann::json all;
    kind_counts sum;
    for (const auto& it : call_kind_names)
    {
        const auto& counts = c.kinds.at(static_cast<std::size_t>(it.value));
        all["calls"][std::string(it.name)] = {{"calls", counts.calls},
            {"bytes_in", counts.bytes_in},
            {"bytes_out", counts.bytes_out}};
        sum.calls += counts.calls;
        sum.bytes_in += counts.bytes_in;
        sum.bytes_out += counts.bytes_out;
    }
    all["total_calls"] = sum.calls;
    all["bytes_in"] = sum.bytes_in;
    all["bytes_out"] = sum.bytes_out;
    all["most_reads_per_second"] = c.reads.max;
    all["most_writes_per_second"] = c.writes.max;
    all["conflicts"] = c.conflicts;
    all["rate_limited"] = c.limited;
    all["stale_reads"] = c.stale;
    all["most_watches"] = c.max_watches;
    return all;
}

bool admit(rate_limiter& r, call_kind kind, core::mono_time now)
{
    return is_write(kind) ? take_token(r.writes, r.limits.writes, now)
                          : take_token(r.reads, r.limits.reads, now);
}

} // namespace camphorhitch::standin_kv
