/// \file
/// Follows all keys under a prefix: reads them, then watches for changes, and reads all keys again
/// if the store's change log no longer covers the time since the last read.
#pragma once

#include "hosted/context.hpp"

#include <functional>
#include <memory>
#include <string>

namespace camphorhitch::hosted
{

/// What a prefix_follower follows, and how often.
struct follower_settings
{
    std::string prefix; ///< prefix of the keys
    /// Longer prefixes, in the order of the keys, that cover all keys: they are read one after the
    /// other, in smaller pages. Empty: all keys are read under `prefix`.
    std::vector<std::string> parts;
    /// Maximum time for which the store may hold back the answer to one watch. It also bounds how
    /// long a dead connection goes unnoticed.
    core::millis max_wait{1500};
    /// Delay between two watches. Changes are gathered meanwhile, since the platform charges for
    /// each call.
    core::millis watch_delay{0};
    core::millis retry_delay{200}; ///< delay after a failed call
};

/// Calls of a prefix_follower.
struct follower_events
{
    /// Called with all keys under the prefix; any other key does not exist.
    std::function<void(std::vector<ports::stored_item>)> on_all;
    /// Called with the changes since the previous call of either function.
    std::function<void(std::vector<ports::stored_change>)> on_changes;
};

struct follower_state;

/// Follows the keys under a prefix. Must not be destroyed inside one of its own events.
class prefix_follower
{
public:
    prefix_follower(context c, follower_settings s, follower_events e);
    prefix_follower(const prefix_follower&) = delete;
    prefix_follower& operator=(const prefix_follower&) = delete;
    ~prefix_follower();

    void start();

    /// \return when the store last answered; the epoch of the clock if it never did.
    core::mono_time last_answer_at() const;

    /// \return the store revision up to which every change has been passed to the events; 0: none
    /// yet. The revision does not change while all keys are read again.
    ports::revision through_revision() const;

    /// \return the number of pages that the current full read has returned so far, or the latest
    /// one if none is in progress.
    int pages_read() const;

private:
    std::shared_ptr<follower_state> state_;
};

} // namespace camphorhitch::hosted
