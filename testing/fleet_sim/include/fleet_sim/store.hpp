/// \file
/// The key-value service's part that pools and waves need: documents with compare-and-swap.
#pragma once

#include "fleet/ownership.hpp"
#include "fleet/waves.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace camphorhitch::fleet_sim
{

enum class answer
{
    ok,
    conflict,
    unavailable, ///< certainly not written
    unknown      ///< written, but the writer doesn't learn it
};

struct store
{
    std::int64_t revision = 1;
    bool down = false;
    int answers_to_lose = 0; ///< of the next writes
    std::vector<fleet::pool_view> pools;
    std::vector<fleet::wave_view> waves;
    std::int64_t writes = 0;
    std::int64_t conflicts = 0;
    std::int64_t host_moves = 0; ///< hosts that one pool released to another
    /// Called with each pool document that replaces another.
    std::function<void(const model::pool_document& before, const model::pool_document& after)>
        on_pool_write;
};

/// \param expected revision that the document must have; 0: it must not exist.
answer put_pool(store& s, const model::pool_document& d, std::int64_t expected);
answer put_wave(store& s, const model::wave_document& d, std::int64_t expected);

const fleet::pool_view* find_pool(const store& s, const std::string& pool);

/// \return the pool whose document has \p host among its hosts by right, or nullptr.
const model::host_record* find_host(const store& s, const std::string& host);

} // namespace camphorhitch::fleet_sim
