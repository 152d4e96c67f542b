/// \file
/// Decides which submitted jobs a node refuses by the published forecast, and reports the refused
/// work.
#pragma once

#include "admission.hpp"
#include "forecast_follower.hpp"
#include "hosted/context.hpp"
#include "refused_work_reporter.hpp"
#include "unsettled_submissions.hpp"
#include "workflow/model.hpp"

namespace camphorhitch::hosted
{

class submission_gate
{
public:
    explicit submission_gate(context c);

    /// Decides on a job that is submitted now, without a call to the store whose answer it would
    /// have to await. A job of which an earlier write may take effect is accepted.
    admission_decision judge(const workflow::job& j);

    /// Logs and counts a job that is refused, and reports its work as demand.
    void record_refusal(const workflow::job& j, const admission_decision& d);

    /// Removes the report of refused work, as the node shuts down.
    void withdraw_reports();

    unsettled_submissions& unsettled()
    {
        return unsettled_;
    }

private:
    context ctx_;
    admission_settings settings_;
    forecast_follower forecasts_;
    refused_work_reporter reporter_;
    unsettled_submissions unsettled_;
};

} // namespace camphorhitch::hosted
