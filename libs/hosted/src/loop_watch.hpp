/// \file
/// By how much the own loop is late: what waits for it waits as long, and nobody else is to blame.
#pragma once

#include "term.hpp"

namespace camphorhitch::hosted
{

class loop_watch
{
public:
    /// \param look is told at each look by how much its timer was late.
    loop_watch(term& t, std::function<void(core::micros late_by)> look);

    void start();

    /// \return whether the loop has been late by more than \p bound at any time after \p since.
    bool was_late_after(core::mono_time since, core::micros bound) const;

private:
    void look();

    term& term_;
    std::function<void(core::micros)> tell_;
    core::mono_time due_;
    core::mono_time late_at_; ///< latest look that was late
    core::micros late_by_{0}; ///< at that look
};

} // namespace camphorhitch::hosted
