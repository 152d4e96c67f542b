#include "coordinator/allocation.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace camphorhitch::coordinator
{

namespace
{

/// Rounding error of shares, which are quotients of host counts.
constexpr double rounding = 1e-9;

/// A pool during the division.
struct pool_part
{
    pool_claim claim;
    int hosts = 0;           ///< given to it so far
    bool is_settled = false; ///< no pool may give it a host any more

    int above_floor() const
    {
        return hosts - claim.floor;
    }

    bool is_short() const
    {
        return hosts < claim.wanted;
    }

    bool has_surplus() const
    {
        return hosts > claim.wanted;
    }

    bool may_give() const
    {
        return hosts > std::max(0, claim.have - claim.takeable);
    }
};

/// \return the satisfied share of the floor, at most 1.
double floor_share(const pool_part& p, int hosts)
{
    return hosts >= p.claim.floor ? 1.0 : static_cast<double>(hosts) / p.claim.floor;
}

/// \return the satisfied share of what the pool wants above its floor.
double need_share(const pool_part& p, int hosts)
{
    const int need = p.claim.wanted - p.claim.floor;
    return need <= 0 ? 1.0 : static_cast<double>(hosts - p.claim.floor) / need;
}

/// \return the stake for each of \p hosts above the floor; infinite when no host serves it.
double benefit(const pool_part& p, int hosts)
{
    if (p.claim.stake <= 0)
    {
        return 0;
    }
    return hosts <= 0 ? std::numeric_limits<double>::infinity() : p.claim.stake / hosts;
}

class division
{
public:
    division(
        const std::vector<pool_claim>& claims, allocation_rule rule, const allocation_settings& s)
        : rule_(rule), margin_(s.margin)
    {
        for (const auto& it : claims)
        {
            auto& p = parts_[it.pool];
            p.claim = it;
            p.claim.wanted = std::max(it.wanted, it.floor);
            p.hosts = it.have;
        }
    }

    /// Gives hosts to the pools, or takes them, until they have \p total.
    void match_total(int total)
    {
        for (const auto& [name, p] : parts_)
        {
            total -= p.hosts;
        }
        for (auto* p = neediest(); total > 0 && p != nullptr; p = neediest())
        {
            ++p->hosts;
            --total;
        }
        const auto has_hosts = [](const pool_part& p)
        {
            return p.hosts > 0;
        };
        for (auto* p = best_donor(has_hosts); total < 0 && p != nullptr; p = best_donor(has_hosts))
        {
            --p->hosts;
            ++total;
        }
    }

    /// Moves hosts until no further move is permitted.
    void balance()
    {
        for (auto* to = neediest(); to != nullptr; to = neediest())
        {
            auto* const from =
                best_donor([to](const pool_part& p) { return &p != to && p.may_give(); });
            if (from == nullptr || !is_permitted(*from, *to))
            {
                // Other pools only lose hosts from here on, so none will be permitted to give one.
                to->is_settled = true;
                continue;
            }
            --from->hosts;
            ++to->hosts;
        }
    }

    std::map<std::string, int> result() const
    {
        std::map<std::string, int> out;
        for (const auto& [name, p] : parts_)
        {
            out[name] = p.hosts;
        }
        return out;
    }

private:
    /// \return the short pool that receives the next host, or nullptr.
    pool_part* neediest()
    {
        pool_part* best = nullptr;
        for (auto& [name, p] : parts_)
        {
            if (p.is_short() && !p.is_settled &&
                (best == nullptr || receiving_rank(p) < receiving_rank(*best)))
            {
                best = &p;
            }
        }
        return best;
    }

    /// \return lower for a pool that receives a host before others; equal: the order of the names.
    std::tuple<double, double, double, double> receiving_rank(const pool_part& p) const
    {
        if (rule_ == allocation_rule::in_order)
        {
            return {};
        }
        const double floor = floor_share(p, p.hosts);
        const double need = need_share(p, p.hosts);
        if (rule_ == allocation_rule::max_min || floor < 1)
        {
            return {floor, need, 0, 0};
        }
        return {floor, -benefit(p, p.above_floor()), -p.claim.stake, need};
    }

    /// \return the pool among those that \p may_give that a host is taken from, or nullptr.
    template <class MayGive>
    pool_part* best_donor(const MayGive& may_give)
    {
        pool_part* best = nullptr;
        for (auto& [name, p] : parts_)
        {
            if (may_give(p) && (best == nullptr || giving_rank(p) < giving_rank(*best)))
            {
                best = &p;
            }
        }
        return best;
    }

    /// \return lower for a pool that gives a host before others: those with a surplus first, of
    /// these the ones that want nothing, then those with most hosts beyond the retained ones.
    std::tuple<bool, bool, double, double, double> giving_rank(const pool_part& p) const
    {
        if (p.has_surplus())
        {
            return {false, p.claim.wanted > 0, p.claim.shrink_to - p.hosts, 0, 0};
        }
        const double loss =
            rule_ == allocation_rule::marginal ? benefit(p, p.above_floor() - 1) : 0;
        return {true, true, -floor_share(p, p.hosts - 1), loss, -need_share(p, p.hosts - 1)};
    }

    bool is_permitted(const pool_part& from, const pool_part& to) const
    {
        if (from.has_surplus())
        {
            return true;
        }
        if (rule_ == allocation_rule::in_order)
        {
            return false;
        }
        if (to.above_floor() < 0)
        {
            return from.above_floor() > 0 ||
                   is_lower(floor_share(to, to.hosts + 1), floor_share(from, from.hosts - 1)) ||
                   (to.hosts == 0 && from.hosts > 1);
        }
        return from.above_floor() > 0 && needs_more(to, from);
    }

    /// \return whether a host above the floor of \p from, a short pool, is needed more by \p to.
    bool needs_more(const pool_part& to, const pool_part& from) const
    {
        const double gain = benefit(to, to.above_floor());
        const double loss = benefit(from, from.above_floor() - 1);
        if (rule_ == allocation_rule::marginal && gain + loss > 0)
        {
            return gain > loss * (1 + margin_);
        }
        // The margin is above the whole share that a small pool can give; a pool without any host
        // for its need would not be served at all.
        const bool is_unserved = to.above_floor() == 0 && from.above_floor() > 1;
        return is_unserved ||
               is_lower(need_share(to, to.hosts + 1), need_share(from, from.hosts - 1));
    }

    bool is_lower(double share, double other) const
    {
        return share + margin_ <= other + rounding;
    }

    std::map<std::string, pool_part> parts_;
    allocation_rule rule_;
    double margin_;
};

} // namespace

std::map<std::string, int> divide_hosts(const std::vector<pool_claim>& claims,
    int total,
    allocation_rule rule,
    const allocation_settings& settings)
{
    division d(claims, rule, settings);
    d.match_total(total);
    d.balance();
    return d.result();
}

} // namespace camphorhitch::coordinator
