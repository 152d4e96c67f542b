/// \file
/// Follows the list of runners, and detects hosts whose leases have expired.
#pragma once

#include "runner_list.hpp"
#include "runner_record_keeper.hpp"
#include "term.hpp"

namespace camphorhitch::hosted
{

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

    /// Brings the record of one host up to date, as runner_record_keeper::update.
    void update_record(const std::string& host);

private:
    void apply_list();
    void apply_changes(const std::vector<listing_change>& changes);
    void check_liveness();
    void update_host_liveness();

    term& term_;
    runner_record_keeper record_;
    runner_list list_;
    bool changed_since_full_pass_ = false; ///< entries were applied one by one since apply_list
};

} // namespace camphorhitch::hosted
