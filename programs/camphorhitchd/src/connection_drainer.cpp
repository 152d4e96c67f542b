#include "connection_drainer.hpp"

#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis check_interval{50};
/// 0.2 s: a request's bytes follow its connection within milliseconds.
constexpr int min_checks = 4;
constexpr int max_checks = 40;

} // namespace

connection_drainer::connection_drainer(ports::scheduler& scheduler, ports::http_server server)
    : scheduler_(scheduler), server_(std::move(server))
{
}

// Without this wait the process would end right after it revokes its lease. Calls of callers that
// connected in the last milliseconds would break, and these callers could not tell that nothing was
// run.
void connection_drainer::begin(std::function<void()> done)
{
    done_ = std::move(done);
    server_.stop_accepting();
    check(0);
}

void connection_drainer::check(int checks)
{
    const bool quiet = checks >= min_checks && server_.open_exchanges() == 0;
    if (quiet || checks >= max_checks)
    {
        std::exchange(done_, [] {})();
        return;
    }
    scheduler_.after(check_interval, [this, checks] { check(checks + 1); });
}

} // namespace camphorhitch::daemon
