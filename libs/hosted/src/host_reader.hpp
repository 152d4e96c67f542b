/// \file
/// Reads which runners there are, and records which of them this owner may give orders to.
#pragma once

#include "term.hpp"

#include <map>

namespace camphorhitch::hosted
{

/// A runner in use, as a successor finds it.
struct runner_record
{
    std::string address;
    std::string machine; ///< empty: not known yet

    friend bool operator==(const runner_record&, const runner_record&) = default;
};

using runner_records = std::map<std::string, runner_record>; ///< by runner id

std::string write_runners(const runner_records& all);

/// \return the runners of a record; empty when there is none or it is damaged.
runner_records read_runners(const std::string& text);

class host_reader
{
public:
    explicit host_reader(term& t);

    /// Reads the former owner's record, then keeps reading the list. \p done: the record is in.
    void start(std::function<void()> done);

private:
    void read_record();
    void take_record(const ports::item_read& read);
    void read_list();
    void read_page(const std::string& after);
    void take_page(ports::page_read page);
    void take_list();
    void record();

    term& term_;
    std::function<void()> done_;
    std::vector<ports::stored_item> items_;
    runner_records recorded_; ///< what is stored
    ports::revision record_revision_ = 0;
    bool recording_ = false;
};

} // namespace camphorhitch::hosted
