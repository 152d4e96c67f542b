/// \file
/// Keeps the stored record of the runners to which this coordinator may give orders.
#pragma once

#include "runner_record.hpp"
#include "term.hpp"

#include <array>
#include <set>
#include <vector>

namespace camphorhitch::hosted
{

class runner_record_keeper
{
public:
    explicit runner_record_keeper(term& t);
    runner_record_keeper(const runner_record_keeper&) = delete;
    runner_record_keeper& operator=(const runner_record_keeper&) = delete;

    /// Reads the previous coordinator's record and adds its runners to the fleet.
    /// \param done called once the record has been applied
    void start(std::function<void()> done);

    /// Brings the row of one host up to date; to be called when it answers for the first time or
    /// after it was unresponsive.
    void update(const std::string& host);

    /// Brings all rows up to date.
    void update_all();

private:
    struct bucket
    {
        runner_records recorded; ///< as the last confirmed write left it
        runner_records wanted;
        /// Ids of runners for which a successor might not wait until their full leases end, if a
        /// write that is in flight or was never answered has reached the store.
        std::set<std::string> unconfirmed;
        /// Values of runner_record::remaining_lease written in this term for unresponsive runners
        /// to which no lease may be granted, by runner id.
        std::map<std::string, core::millis> stored_remaining_leases;
        ports::revision revision = 0;
        bool write_in_flight = false;
        bool last_write_unknown = false; ///< the last write is not known to have been stored
        bool touched = false;            ///< `wanted` may differ from `recorded`
        bool has_undivided_rows = false; ///< some rows are stored in the undivided record only
    };

    void read();
    void apply(const std::vector<ports::stored_item>& items);
    void apply_item(const ports::stored_item& item);
    void add_rows(const runner_records& rows, bool undivided);
    std::optional<runner_record> wanted_row(
        const coordinator::host_entry& h, const bucket& of) const;
    void update_row(const std::string& host);
    void update_recorded(coordinator::host_entry& h);
    void update_recorded(const runner_records& rows);
    void mark_unconfirmed(bucket& of);
    void request_write();
    void write();
    void send(const std::vector<std::size_t>& buckets);
    void handle_write_answer(const std::vector<std::size_t>& buckets,
        const std::vector<runner_records>& sent,
        const ports::commit_result& result);
    void retire_undivided_record();

    term& term_;
    std::function<void()> done_;
    std::array<bucket, runner_buckets> buckets_;
    ports::revision undivided_revision_ = 0; ///< of the undivided record; 0: there is none
    bool undivided_retired_ = false;
    bool retiring_in_flight_ = false;
    bool write_scheduled_ = false;
    core::mono_time written_at_; ///< when writes were last sent
};

} // namespace camphorhitch::hosted
