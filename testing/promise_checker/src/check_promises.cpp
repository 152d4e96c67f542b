#include "promises.hpp"

namespace camphorhitch::checker
{

verdict check_promises(const records& r, const limits& l)
{
    verdict out;
    check_pools(r, l, out);
    check_requests(r, out);
    check_jobs(r, out);
    check_leaving_hosts(r, l, out);
    check_planned_stops(r, out);
    check_configuration(r, l, out);
    return out;
}

} // namespace camphorhitch::checker
