/// \file
/// Tells whether the metadata store answers this node at all, and repeats reads that it left open.
///
/// A store that is cut off or stands still answers nothing and refuses nothing. What is sent to it
/// then costs twice: a write's effect stays unknown to its caller, and a read is waited for to its
/// timeout, seconds after the store is back. So its silence is noticed within half a second, small
/// probes look for its return, and its first answer repeats what is still open over other
/// connections.
#pragma once

#include "core/time.hpp"
#include "ports/metadata_store.hpp"
#include "ports/scheduler.hpp"
#include "ports/telemetry.hpp"

#include <functional>
#include <memory>

namespace camphorhitch::hosted
{

struct pulse_settings
{
    /// Without any answer for so long after a call, a probe asks. A slow store takes 330 ms, and
    /// answers other calls meanwhile.
    core::millis suspect{250};
    /// Without any answer for so long after a call, the store counts as silent.
    core::millis silent{500};
    core::millis probe_every{250};
    /// A check that runs later than this proves nothing: answers may lie unread on this node.
    core::millis late{100};
};

struct pulse_state;

class store_pulse
{
public:
    /// \param real the store as the client shows it
    store_pulse(const ports::metadata_store& real,
        ports::scheduler time,
        ports::telemetry tel,
        pulse_settings s);
    store_pulse(const store_pulse&) = delete;
    store_pulse& operator=(const store_pulse&) = delete;
    ~store_pulse();

    /// The store, watched. Reads, watches and requests for a lease that are open when a silent
    /// store answers again are sent once more, and the first answer counts.
    ports::metadata_store port() const;

    /// \return false while the store answers, or nothing shows yet that it doesn't.
    bool is_silent() const;

private:
    std::shared_ptr<pulse_state> state_;
};

} // namespace camphorhitch::hosted
