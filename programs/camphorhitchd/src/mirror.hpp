/// \file
/// A mirror of the key-value service's documents: one read of everything, then one watch.
///
/// One prefix is read and watched instead of one watch a document, because the service counts each
/// waiting watch as a call. After an outage each process waits a random while before it reads
/// again, so that nine of them don't read everything in the same instant.
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

struct mirror_settings
{
    std::string prefix;
    core::millis retry_first{200}; ///< pause before the first new try; doubles up to retry_most
    core::millis retry_most{3000};
    core::millis reread{300000};   ///< a whole read this often, in case the watch lost something
    core::millis long_watch{5000}; ///< a watch that lived this long is simply started again
    std::uint64_t seed = 1;        ///< of the jitter
};

/// What a mirror tells its owner.
struct mirror_events
{
    /// A key changed; \p entry.modified is 0 when it was deleted.
    std::function<void(const ports::kv_entry& entry)> on_change;
    /// The whole prefix was read; \p asked_at is when the read was sent.
    std::function<void(core::mono_time asked_at)> on_read;
};

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

    void start();
    /// \return true once the whole prefix has been read at least once.
    bool loaded() const;
    /// \return the store's revision at which all documents here were current, by reads and the
    /// watch.
    ports::revision read_revision() const;
    /// \return the entry, or nullptr.
    const ports::kv_entry* find(const std::string& key) const;
    /// \return all entries whose keys start with \p prefix, in the order of their keys.
    std::vector<const ports::kv_entry*> under(const std::string& prefix) const;
    /// Takes in what a write or read of ours has shown; older revisions are ignored.
    void note(const ports::kv_entry& entry);
    /// Reads everything again soon, once, however often it is called.
    void refresh();

private:
    struct parts;
    std::shared_ptr<parts> parts_;
};

} // namespace camphorhitch::daemon
