/// \file
/// Reads which runners there are, and records which of them this owner may give orders to.
#pragma once

#include "term.hpp"

#include <map>

namespace camphorhitch::hosted
{

/// Runners in use, as a successor finds them: id and address.
std::string write_runners(const std::map<std::string, std::string>& addresses);

/// \return the runners of a record; empty when there is none or it is damaged.
std::map<std::string, std::string> read_runners(const std::string& text);

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
    std::map<std::string, std::string> recorded_; ///< what is stored; address by id
    ports::revision record_revision_ = 0;
    bool recording_ = false;
};

} // namespace camphorhitch::hosted
