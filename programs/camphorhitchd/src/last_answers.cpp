#include "last_answers.hpp"

#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis look_every{50};
constexpr int least_looks = 4; ///< a request's bytes follow its connection within milliseconds
constexpr int most_looks = 40;

} // namespace

last_answers::last_answers(ports::scheduler& scheduler, ports::http_server server)
    : scheduler_(scheduler), server_(std::move(server))
{
}

// Without it the process ends, right after the lease is given back, under callers who connected
// in its last milliseconds: their calls break, and they can't know that nothing was run.
void last_answers::begin(std::function<void()> done)
{
    done_ = std::move(done);
    server_.stop_accepting();
    look(0);
}

void last_answers::look(int looks)
{
    const bool quiet = looks >= least_looks && server_.open_exchanges() == 0;
    if (quiet || looks >= most_looks)
    {
        std::exchange(done_, [] {})();
        return;
    }
    scheduler_.after(look_every, [this, looks] { look(looks + 1); });
}

} // namespace camphorhitch::daemon
