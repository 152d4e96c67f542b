/// \file
/// Tracks how much of the pools' budgets a wave's admissions use up.
#pragma once

#include "wave_plan.hpp"

#include <string>
#include <unordered_map>

namespace camphorhitch::fleet
{

/// The remaining budgets of the pools, on copies of their documents in which every admitted host is
/// already absent.
class budget_headroom
{
public:
    explicit budget_headroom(const wave_inputs& in);

    /// Marks \p h as absent if its pool's budget and policy \p p allow it.
    /// \return whether they do.
    bool reserve(const wave_host& h, const model::policy_config& p);

private:
    model::pool_document& projected_pool(const std::string& pool);

    const wave_inputs& in_;
    int spares_; ///< number of spare hosts that can be lent now
    std::unordered_map<std::string, model::pool_document> projected_; ///< by pool
};

} // namespace camphorhitch::fleet
