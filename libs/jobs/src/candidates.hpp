/// \file
/// Finds the best host for a job without a scan of all hosts.
#pragma once

#include "place.hpp"

#include <set>
#include <vector>

namespace camphorhitch::jobs
{

/// The search of a host for one job.
struct host_search
{
    round_state& r;
    job& it;
    const estimate& size;
};

/// The hosts that may take a job, by zone and free processors.
class candidate_index
{
public:
    explicit candidate_index(host_views& views);

    void remove(const host_view& v);
    void add(const host_view& v);

    /// Sorted by whole free processors, then by the host's index, so that each run has the same
    /// order.
    using by_free_processors = std::set<std::pair<int, std::size_t>>;

    const by_free_processors& hosts(int zone, bool with_accelerators) const;
    host_view& at(std::size_t n) const;

private:
    std::pair<int, std::size_t> index_key_of(const host_view& v) const;
    by_free_processors& set_of(const host_view& v);

    host_views& views_;
    std::vector<by_free_processors> plain_;       ///< by zone: hosts without accelerators
    std::vector<by_free_processors> accelerated_; ///< by zone: hosts that have any accelerator
};

struct search_result
{
    host_view* host = nullptr;
    wait_reason reason = wait_reason::no_room; ///< set when no host was found
    bool any_capacity = false; ///< some host had free capacity, but another condition excluded it
};

search_result find_host(candidate_index& index, const host_search& s);

/// Sizes that found no host in this round. Free capacity only shrinks within a round, so a job that
/// is at least as large and no less restricted can't find a host either.
class unplaceable_sizes
{
public:
    bool covers(const host_search& s) const;
    void add(const host_search& s, const search_result& result);
    wait_reason reason() const;

private:
    struct entry
    {
        estimate size;
        resources declared;
        bool may_use_reserved = false; ///< may use hosts that are reserved for other jobs
    };
    std::vector<entry> entries_;
    wait_reason reason_ = wait_reason::no_room;
};

} // namespace camphorhitch::jobs
