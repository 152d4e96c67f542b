/// \file
/// An in-memory key-value service with compare-and-swap, leases, watches with history, and faults.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "ports/key_value.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::daemon_fakes
{

/// The service, shared by all simulated processes.
class key_value
{
public:
    explicit key_value(virtual_time& time);
    key_value(const key_value&) = delete;
    key_value& operator=(const key_value&) = delete;

    /// \return the port for process \p p; \p p and this object must outlive it.
    ports::key_value port(process& p);

    /// While the service is down, no call is answered; all watches end when it goes down.
    void set_down(bool down);
    /// Makes reads of a prefix return the present content until unfreeze_range_reads().
    void freeze_range_reads();
    void unfreeze_range_reads();
    /// Ends all watches, as the real service does occasionally.
    void end_watches();
    /// Writes a key as another client of the service.
    /// \return the key's revision.
    ports::revision put(
        const std::string& key, const std::string& value, ports::lease_id lease = 0);
    /// Deletes a key as another client of the service.
    void remove(const std::string& key);
    /// \return the entry, or nullptr.
    const ports::kv_entry* find(const std::string& key) const;

    int answers_to_lose = 0; ///< number of coming writes that take effect and whose answer is lost
    std::int64_t range_reads = 0; ///< number of prefix reads that were answered
    std::int64_t writes = 0;      ///< number of writes that took effect

private:
    struct lease
    {
        core::millis ttl{0};
        core::mono_time until{};
    };
    struct watcher
    {
        process* owner = nullptr;
        std::string prefix;
        std::function<void(std::vector<ports::kv_event>)> on_events;
        std::function<void()> on_end;
    };
    struct snapshot
    {
        std::map<std::string, ports::kv_entry> entries;
        ports::revision revision = 0;
    };
    using write_callback = std::function<void(ports::kv_write)>;

    /// Carries a call to the service and the answer that \p serve returns back to \p p. \p lost is
    /// called instead when the service can't be reached.
    void call(process& p, std::function<std::function<void()>()> serve, std::function<void()> lost);
    void call_write(process& p, std::function<ports::kv_write()> serve, const write_callback& done);
    ports::kv_write compare(const std::string& key, ports::revision expected) const;
    ports::kv_read read(const std::string& key, bool prefix);
    void publish(const ports::kv_event& event);
    void deliver(ports::watch_id id, std::vector<ports::kv_event> events);
    void end_watch(ports::watch_id id);
    void expire_lease(ports::lease_id id);
    void remove_lease(ports::lease_id id);

    virtual_time& time_;
    snapshot now_;
    std::optional<snapshot> frozen_;
    std::vector<ports::kv_event> history_;
    std::map<ports::lease_id, lease> leases_;
    std::map<ports::watch_id, watcher> watchers_;
    ports::lease_id last_lease_ = 0;
    ports::watch_id last_watch_ = 0;
    bool down_ = false;
};

} // namespace camphorhitch::daemon_fakes
