#include "promises.hpp"

namespace camphorhitch::checker
{

verdict judge(const records& r, const limits& l)
{
    verdict out;
    judge_pools(r, l, out);
    judge_requests(r, out);
    judge_jobs(r, out);
    judge_leaving(r, l, out);
    judge_stops(r, out);
    judge_configuration(r, l, out);
    return out;
}

} // namespace camphorhitch::checker
