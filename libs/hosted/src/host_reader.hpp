/// \file
/// Reads which runners there are, and records which of them this owner may give orders to.
#pragma once

#include "damage_notes.hpp"
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
    ~host_reader();

    /// Reads the former owner's record, then keeps reading the list. \p done: the record is in.
    void start(std::function<void()> done);

    /// The pools of the configuration in force; an entry of another names no runner to use. None:
    /// not known yet, all are taken.
    void set_pools(const std::vector<pool_settings>& pools);

    /// Brings the record up to date; call it when a runner answers for the first time.
    void record();

private:
    void read_record();
    void take_record(const ports::item_read& read);
    void read_list();
    void read_page(const std::string& after);
    core::millis pause() const;
    void take_page(ports::page_read page);
    void take_list();
    core::result<coordinator::host_listing> read_entry(const ports::stored_item& it) const;
    void take_former(const ports::stored_item& item);
    runner_records wanted_records() const;
    void mark_recorded();
    void tell_unusable(std::size_t entries) const;
    void send_record(runner_records wanted);
    void doubt_all_but(const runner_records& wanted);
    void take_write(const runner_records& wanted, const ports::commit_result& result);

    term& term_;
    std::function<void()> done_;
    std::vector<ports::stored_item> items_;
    std::set<std::string> pools_;
    damage_notes damaged_;
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
