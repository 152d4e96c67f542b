/// \file
/// The metadata store in memory: transactions, leases, watches with history, and its faults.
#pragma once

#include "daemon_fakes/virtual_time.hpp"
#include "ports/metadata_store.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorhitch::hosted_fakes
{

class store
{
public:
    explicit store(daemon_fakes::virtual_time& time);
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    /// \return the port as \p p sees it; \p p and this object outlive it.
    ports::metadata_store port(daemon_fakes::process& p);

    /// Writes or removes a key as an operator or a runner would.
    ports::revision put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    const ports::stored_item* find(const std::string& key) const;
    /// Takes a key away with its lease, as the platform may at any time.
    void revoke(const std::string& key);
    /// Forgets what changed until now: watches from before can't go on.
    void compact();

    bool down = false;          ///< nothing answers
    core::millis timeout{1000}; ///< after so long without an answer a call counts as unanswered
    bool leases_pause = false;  ///< while it is down, leases pause; else they run on
    bool busy = false;          ///< every call is refused
    int answers_to_lose = 0;    ///< of the next writes, which take effect
    int writes_to_delay = 0;    ///< the next writes get no answer and take effect seconds later
    core::millis late_by{3000}; ///< for those
    std::size_t page_size = 500;
    std::int64_t writes = 0; ///< transactions that were answered
    std::int64_t reads = 0;  ///< calls that read, waiting ones included

private:
    struct lease
    {
        core::millis ttl{0};
        std::uint64_t renewals = 0;
    };
    struct waiter
    {
        std::string prefix;
        ports::revision after = 0;
        std::function<void(ports::changes_read)> answer;
    };

    /// Carries a call to the store and its answer back. \p lost makes the answer of a call that was
    /// not answered, \p refused of one that was refused.
    template <class Answer>
    void call(daemon_fakes::process& p,
        std::function<Answer()> serve,
        Answer lost,
        Answer refused,
        std::function<void(Answer)> done);
    ports::commit_result commit(const ports::store_transaction& t);
    void commit_call(daemon_fakes::process& p,
        const ports::store_transaction& t,
        const std::function<void(ports::commit_result)>& done);
    ports::page_read range(const std::string& prefix, const std::string& after);
    bool answer_watch(const waiter& w);
    void watch(daemon_fakes::process& p, waiter w, core::millis wait);
    void note(const ports::stored_change& change);
    void expire(ports::lease_id id, std::uint64_t renewals);
    void end_lease(ports::lease_id id);

    daemon_fakes::virtual_time& time_;
    std::map<std::string, ports::stored_item> items_;
    std::vector<ports::stored_change> history_;
    ports::revision revision_ = 1;
    ports::revision compacted_ = 0; ///< history up to here is gone
    std::map<ports::lease_id, lease> leases_;
    ports::lease_id last_lease_ = 0;
    std::map<std::uint64_t, waiter> waiters_;
    std::uint64_t last_waiter_ = 0;
};

} // namespace camphorhitch::hosted_fakes
