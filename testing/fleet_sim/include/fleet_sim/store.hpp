/// \file
/// The part of the key-value service that pools and waves use: documents with compare-and-swap.
#pragma once

#include "fleet/ownership.hpp"
#include "fleet/waves.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace camphorhitch::fleet_sim
{

/// Result of a write.
enum class answer
{
    ok,
    conflict,
    unavailable, ///< not written
    unknown      ///< written, but the answer to the writer is lost
};

/// All documents, and counts of writes.
struct store
{
    std::int64_t revision = 1;
    bool down = false;
    int answers_to_lose = 0; ///< number of coming writes whose answer is lost
    std::vector<fleet::pool_view> pools;
    std::vector<fleet::wave_view> waves;
    std::int64_t writes = 0;
    std::int64_t conflicts = 0;
    std::int64_t host_moves = 0; ///< hosts that one pool released to another
    /// Called with each pool document that replaces another.
    std::function<void(const model::pool_document& before, const model::pool_document& after)>
        on_pool_write;
};

/// Writes a document.
/// \param expected revision that the document must have; 0: it must not exist.
answer put_pool(store& s, const model::pool_document& d, std::int64_t expected);
answer put_wave(store& s, const model::wave_document& d, std::int64_t expected);

const fleet::pool_view* find_pool(const store& s, const std::string& pool);

/// \return the record of \p host in the pool that owns it, or nullptr.
const model::host_record* find_host(const store& s, const std::string& host);

} // namespace camphorhitch::fleet_sim
