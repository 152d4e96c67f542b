/// \file
/// Follows the list of runners, and keeps the record of those that this coordinator may give orders
/// to. A successor reads the record to learn whose leases it has to wait for.
#pragma once

#include "runner_list.hpp"
#include "term.hpp"

#include <map>
#include <optional>
#include <set>

namespace camphorhitch::hosted
{

/// Entry of the record: a runner in use.
struct runner_record
{
    std::string address;
    std::string machine; ///< empty: not known yet
    std::string pool;    ///< empty: not known
    /// Set for an unresponsive runner: all its leases end within this time after the record was
    /// stored, and none is granted before the record has been stored without this value. Otherwise
    /// empty.
    std::optional<core::millis> remaining_lease;

    friend bool operator==(const runner_record&, const runner_record&) = default;
};

using runner_records = std::map<std::string, runner_record>; ///< by runner id

/// \return the text of the record.
std::string write_runners(const runner_records& all);

/// \return the runners of a record; empty if the text is damaged.
std::optional<runner_records> read_runners(const std::string& text);

class host_reader
{
public:
    explicit host_reader(term& t);
    host_reader(const host_reader&) = delete;
    host_reader& operator=(const host_reader&) = delete;

    /// Reads the previous coordinator's record, then follows the list.
    /// \param done called once the record has been applied
    void start(std::function<void()> done);

    /// Sets the pools of the configuration in force, as runner_list::set_pools.
    void set_pools(const std::vector<pool_settings>& pools);

    /// Brings the record up to date; to be called when a runner answers for the first time
    /// or after it was unresponsive.
    void update_record();

private:
    void read_record();
    void apply_record(const ports::item_read& read);
    void apply_list();
    void check_liveness();
    void update_host_liveness();
    void apply_previous_record(const ports::stored_item& item);
    runner_records records_to_store() const;
    void mark_recorded();
    void send_record(runner_records wanted);
    void mark_others_unconfirmed(const runner_records& wanted);
    void handle_write_answer(const runner_records& wanted, const ports::commit_result& result);

    term& term_;
    std::function<void()> done_;
    runner_list list_;
    runner_records recorded_; ///< the record as the last confirmed write left it
    /// Ids of runners for which a successor might not wait until their full leases end, if a write
    /// that is in flight or was never answered has reached the store.
    std::set<std::string> unconfirmed_;
    bool last_write_unknown_ = false; ///< the last write is not known to have been stored
    /// Values of runner_record::remaining_lease written in this term, by runner id.
    std::map<std::string, core::millis> stored_remaining_leases_;
    ports::revision record_revision_ = 0;
    bool write_in_flight_ = false;
};

} // namespace camphorhitch::hosted
