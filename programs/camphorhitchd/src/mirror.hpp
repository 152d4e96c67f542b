/// \file
/// A local mirror of the key-value service's documents, filled by one read of all documents and
/// kept current by one watch.
///
/// The mirror reads and watches one prefix instead of each document, because the service counts
/// each waiting watch as a call. After an outage each process waits for a random time before it
/// reads again, so that nine processes don't read all documents at the same instant.
#pragma once

#include "core/time.hpp"
#include "ports/key_value.hpp"
#include "ports/scheduler.hpp"
#include "ports/telemetry.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// Prefix, delays and intervals of a mirror.
struct mirror_settings
{
    std::string prefix;
    /// Delay before the first retry of a read; doubles up to max_retry_delay.
    core::millis min_retry_delay{200};
    core::millis max_retry_delay{3000};
    /// Interval between full reads, in case the watch lost an event.
    core::millis reread_interval{300000};
    /// A watch that lasted at least this long is restarted without a read.
    core::millis min_watch_time{5000};
    std::uint64_t seed = 1; ///< seed of the jitter
};

/// Events of a mirror.
struct mirror_events
{
    /// A key changed; \p entry.modified is 0 when it was deleted.
    std::function<void(const ports::kv_entry& entry)> on_change;
    /// The whole prefix was read; \p asked_at is the time at which the read was sent.
    std::function<void(core::mono_time asked_at)> on_read;
};

/// A mirror of all documents under one prefix.
class mirror
{
public:
    mirror(mirror_settings settings,
        const ports::key_value& store,
        const ports::scheduler& scheduler,
        const ports::telemetry& telemetry,
        mirror_events events);
    ~mirror();
    mirror(const mirror&) = delete;
    mirror& operator=(const mirror&) = delete;

    /// Starts the first read.
    void start();
    /// \return true once the whole prefix has been read at least once.
    bool loaded() const;
    /// \return the store's revision up to which the mirrored documents are current, by reads and
    /// the watch.
    ports::revision read_revision() const;
    /// \return the entry, or nullptr.
    const ports::kv_entry* find(const std::string& key) const;
    /// \return all entries whose keys start with \p prefix, in the order of their keys.
    std::vector<const ports::kv_entry*> entries_with_prefix(const std::string& prefix) const;
    /// Applies an entry that a write or read of this process has returned; older revisions are
    /// ignored.
    void apply_entry(const ports::kv_entry& entry);
    /// Schedules one read of all documents; repeated calls before it cause no further read.
    void refresh();

private:
    struct parts;
    std::shared_ptr<parts> parts_;
};

} // namespace camphorhitch::daemon
