/// \file
/// Finds the best host for a job without looking at all of them.
#pragma once

#include "place.hpp"

#include <set>
#include <vector>

namespace camphorhitch::jobs
{

/// One job looking for a host.
struct search
{
    round_state& r;
    job& it;
    const estimate& size;
};

/// Hosts that may take a job, by zone and free processors.
class candidate_index
{
public:
    explicit candidate_index(host_views& views);

    void remove(const host_view& v);
    void add(const host_view& v);

    /// By whole free processors, then by number: the same in every run.
    using by_room = std::set<std::pair<int, std::size_t>>;

    const by_room& hosts(int zone, bool with_accelerators) const;
    host_view& at(std::size_t n) const;

private:
    std::pair<int, std::size_t> place_of(const host_view& v) const;
    by_room& set_of(const host_view& v);

    host_views& views_;
    std::vector<by_room> plain_;       ///< by zone
    std::vector<by_room> accelerated_; ///< by zone: hosts that have any accelerator
};

struct search_end
{
    host_view* host = nullptr;
    wait_reason reason = wait_reason::no_room; ///< when there is none
    bool any_room = false; ///< some host had room, but something else was against it
};

search_end find_host(candidate_index& index, const search& s);

/// Sizes that found no host in this round. Room only shrinks in a round, so whatever is at least as
/// large and no less particular can't find one either.
class failed_sizes
{
public:
    bool covers(const search& s) const;
    void add(const search& s, const search_end& why);
    wait_reason reason() const;

private:
    struct entry
    {
        estimate size;
        amounts declared;
        bool favoured = false; ///< may use hosts that are kept for others
    };
    std::vector<entry> entries_;
    wait_reason reason_ = wait_reason::no_room;
};

} // namespace camphorhitch::jobs
