/// \file
/// In-memory metadata store: transactions, leases, watches with a change log, and faults.
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

    /// Writes or removes a key, as an operator or a runner would.
    ports::revision put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    const ports::stored_item* find(const std::string& key) const;
    /// Removes a key while its lease continues, as the platform may at any time.
    void revoke(const std::string& key);
    /// Truncates the change log: watches from an earlier revision fail.
    void compact();

    bool down = false;                     ///< no call is answered
    core::millis timeout{1000};            ///< time after which a call without an answer fails
    bool pauses_leases_while_down = false; ///< false: leases expire while the store is down
    bool busy = false;                     ///< every call is refused
    int answers_to_lose = 0; ///< number of next writes that take effect but get no answer
    int writes_to_delay = 0; ///< number of next writes that get no answer and take effect later
    core::millis delayed_write_time{3000}; ///< time after which these take effect
    std::size_t page_size = 500;
    std::int64_t writes = 0; ///< transactions that were answered
    std::int64_t reads = 0;  ///< read calls, including watches

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

    /// Delivers a call to the store and its answer back to the process.
    /// \param lost reported for a call that gets no answer
    /// \param refused reported for a call that the store refuses
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
    void record_change(const ports::stored_change& change);
    void expire(ports::lease_id id, std::uint64_t renewals);
    void end_lease(ports::lease_id id);

    daemon_fakes::virtual_time& time_;
    std::map<std::string, ports::stored_item> items_;
    std::vector<ports::stored_change> history_;
    ports::revision revision_ = 1;
    ports::revision compacted_ = 0; ///< the change log up to this revision is truncated
    std::map<ports::lease_id, lease> leases_;
    ports::lease_id last_lease_ = 0;
    std::map<std::uint64_t, waiter> waiters_;
    std::uint64_t last_waiter_ = 0;
};

} // namespace camphorhitch::hosted_fakes
