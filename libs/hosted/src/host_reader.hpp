/// \file
/// Reads which runners there are, and records which of them this owner may give orders to.
#pragma once

#include "runner_list.hpp"
#include "term.hpp"

#include <map>
#include <optional>
#include <set>

namespace camphorhitch::hosted
{

/// A runner in use, as a successor finds it.
struct runner_record
{
    std::string address;
    std::string machine; ///< empty: not known yet
    std::string pool;    ///< empty: not known
    /// Told of a silent runner: all its leases end within this time after the record was stored,
    /// and none is granted before it is stored without. Else nothing.
    std::optional<core::millis> rest;

    friend bool operator==(const runner_record&, const runner_record&) = default;
};

using runner_records = std::map<std::string, runner_record>; ///< by runner id

std::string write_runners(const runner_records& all);

/// \return the runners of a record; nothing when it is damaged.
std::optional<runner_records> read_runners(const std::string& text);

class host_reader
{
public:
    explicit host_reader(term& t);
    host_reader(const host_reader&) = delete;
    host_reader& operator=(const host_reader&) = delete;

    /// Reads the former owner's record, then follows the list. \p done: the record is in.
    void start(std::function<void()> done);

    /// The pools of the configuration in force, as runner_list::set_pools.
    void set_pools(const std::vector<pool_settings>& pools);

    /// Brings the record up to date; call it when a runner answers for the first time.
    void record();

private:
    void read_record();
    void take_record(const ports::item_read& read);
    void take_list();
    void watch_silence();
    void judge_hosts();
    void take_former(const ports::stored_item& item);
    runner_records wanted_records() const;
    void mark_recorded();
    void send_record(runner_records wanted);
    void doubt_all_but(const runner_records& wanted);
    void take_write(const runner_records& wanted, const ports::commit_result& result);

    term& term_;
    std::function<void()> done_;
    runner_list list_;
    runner_records recorded_; ///< as the last answered write left it
    /// Runners for which a successor may not wait as for others, if a write that is out, or was
    /// never answered, is in the store by now.
    std::set<std::string> doubted_;
    bool unsure_ = false;                      ///< the last write was not answered
    std::map<std::string, core::millis> told_; ///< rests written in this term, by runner id
    ports::revision record_revision_ = 0;
    bool recording_ = false;
};

} // namespace camphorhitch::hosted
