/// \file
/// Keeps up with all keys under a prefix: reads them, then watches, and reads anew when the store
/// has lost the history in between.
#pragma once

#include "hosted/context.hpp"

#include <functional>
#include <memory>
#include <string>

namespace camphorhitch::hosted
{

struct follower_settings
{
    std::string prefix;
    /// Longest wait of one watch. Also bounds how long a connection that went silent stays
    /// unnoticed.
    core::millis wait{1500};
    /// Least time between two watches: gathers changes, since each call is charged for.
    core::millis pause{0};
    core::millis retry{200}; ///< after a call that failed
};

struct follower_events
{
    /// All keys; what is not among them does not exist.
    std::function<void(std::vector<ports::stored_item>)> on_all;
    std::function<void(std::vector<ports::stored_change>)> on_changes;
};

struct follower_state;

/// Must not be destroyed inside its own events.
class prefix_follower
{
public:
    prefix_follower(context c, follower_settings s, follower_events e);
    prefix_follower(const prefix_follower&) = delete;
    prefix_follower& operator=(const prefix_follower&) = delete;
    ~prefix_follower();

    void start();

    /// \return when the store last answered; the clock's start when it never did.
    core::mono_time last_answer() const;

    /// \return the store revision up to which every change was handed to the events; 0: none yet.
    /// It stands still while all is read anew.
    ports::revision through() const;

    /// \return the pages that the reading under way, or else the latest one, has brought.
    int pages_read() const;

private:
    std::shared_ptr<follower_state> state_;
};

} // namespace camphorhitch::hosted
