/// \file
/// The key-value service in memory: compare-and-swap, leases, watches with history, and its faults.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "ports/key_value.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorhitch::daemon_fakes
{

class key_value
{
public:
    explicit key_value(virtual_time& time);
    key_value(const key_value&) = delete;
    key_value& operator=(const key_value&) = delete;

    /// \return the port as \p p sees it; \p p and this object outlive it.
    ports::key_value port(process& p);

    /// Nothing answers, and all watches end.
    void set_down(bool down);
    /// From now on reads of a prefix show what stood here when this was called.
    void freeze_ranges();
    void thaw_ranges();
    /// Ends all watches, as the service does now and then.
    void end_watches();
    /// Deletes or writes a key as somebody else would. \return the key's revision.
    ports::revision put(
        const std::string& key, const std::string& value, ports::lease_id lease = 0);
    void remove(const std::string& key);
    /// \return the entry, or nullptr.
    const ports::kv_entry* find(const std::string& key) const;

    int answers_to_lose = 0; ///< of the next writes that take effect
    std::int64_t ranges = 0; ///< reads of a prefix that were answered
    std::int64_t writes = 0; ///< that took effect

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

    /// Carries a call to the service and \p answer back to \p p. \p lost is called instead when the
    /// service can't be reached.
    void call(process& p, std::function<std::function<void()>()> serve, std::function<void()> lost);
    void call_write(process& p, std::function<ports::kv_write()> serve, const write_callback& done);
    ports::kv_write compare(const std::string& key, ports::revision expected) const;
    ports::kv_read read(const std::string& key, bool prefix);
    void tell(const ports::kv_event& event);
    void deliver(ports::watch_id id, std::vector<ports::kv_event> events);
    void end_watch(ports::watch_id id);
    void lapse(ports::lease_id id);
    void drop_lease(ports::lease_id id);

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
