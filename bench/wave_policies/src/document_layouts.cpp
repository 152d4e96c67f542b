#include "document_layouts.hpp"

#include "model/codec.hpp"

#include <algorithm>
#include <functional>
#include <map>

namespace camphorhitch::bench
{

namespace
{

constexpr std::int64_t ms_per_s = 1000;

/// A division of the hosts' state into documents: the document that holds a host, and the documents
/// that a change of a pool writes.
struct document_layout
{
    std::string name;
    std::function<std::string(const std::string& pool, const model::host_record&)> document_of;
    std::function<std::set<std::string>(const pool_write&)> written_by;
};

std::vector<document_layout> all_layouts()
{
    return {{"one for all",
                [](const std::string&, const model::host_record&) { return std::string{"all"}; },
                [](const pool_write&)
                {
                    return std::set<std::string>{"all"};
                }},
        {"one a zone",
            [](const std::string&, const model::host_record& h) { return h.zone; },
            [](const pool_write& w)
            {
                return w.zones;
            }},
        {"one a pool",
            [](const std::string& pool, const model::host_record&) { return pool; },
            [](const pool_write& w)
            {
                return std::set<std::string>{w.pool};
            }}};
}

std::map<std::string, std::size_t> sizes_of(
    const document_layout& c, const std::vector<fleet::pool_view>& end)
{
    std::map<std::string, model::pool_document> documents;
    for (const auto& view : end)
    {
        for (const auto& it : view.document.hosts)
        {
            documents[c.document_of(view.document.pool, it)].hosts.push_back(it);
        }
    }
    std::map<std::string, std::size_t> out;
    for (const auto& [name, document] : documents)
    {
        out[name] = model::encode(document).size();
    }
    return out;
}

layout_cost measure_layout(const document_layout& c,
    const std::vector<fleet::pool_view>& end,
    const std::vector<pool_write>& log)
{
    const auto sizes = sizes_of(c, end);
    layout_cost out{c.name, static_cast<int>(sizes.size()), 0, 0, 0, 0};
    for (const auto& [name, bytes] : sizes)
    {
        out.largest_bytes = std::max(out.largest_bytes, bytes);
    }
    std::map<std::pair<std::int64_t, std::string>, int> in_second;
    for (const auto& write : log)
    {
        for (const auto& name : c.written_by(write))
        {
            ++out.writes;
            out.written_bytes += static_cast<double>(sizes.count(name) ? sizes.at(name) : 0);
            out.same_second += in_second[{write.at_ms / ms_per_s, name}]++ > 0 ? 1 : 0;
        }
    }
    return out;
}

} // namespace

std::set<std::string> changed_zones(
    const model::pool_document& before, const model::pool_document& after)
{
    std::set<std::string> out;
    const auto compare = [&](const model::pool_document& a, const model::pool_document& b)
    {
        for (const auto& it : a.hosts)
        {
            const auto* other = model::find_host(b, it.id);
            if (other == nullptr || !(*other == it))
            {
                out.insert(it.zone);
            }
        }
    };
    compare(before, after);
    compare(after, before);
    return out;
}

std::vector<layout_cost> measure_layouts(
    const std::vector<fleet::pool_view>& end, const std::vector<pool_write>& log)
{
    std::vector<layout_cost> out;
    for (const auto& it : all_layouts())
    {
        out.push_back(measure_layout(it, end, log));
    }
    return out;
}

} // namespace camphorhitch::bench
