#include "hosts_file.hpp"

#include "standin_support/json.hpp"

#include <utility>

namespace camphorhitch::standin_worker
{

std::vector<host> make_hosts(const layout& arrangement)
{
    std::vector<host> all;
    for (std::size_t i = 0; i < arrangement.count; ++i)
    {
        const auto rack = i / arrangement.rack_size;
        host h;
        h.id = arrangement.prefix + std::to_string(i + 1);
        h.zone = std::string(1, static_cast<char>('a' + rack % arrangement.zones));
        h.rack = "r" + std::to_string(rack + 1);
        h.accelerators = arrangement.accelerators;
        all.push_back(std::move(h));
    }
    return all;
}

std::variant<std::vector<host>, core::findings> parse_hosts(const std::string& text)
{
    standin_support::object_reader reader(text);
    std::vector<host> all;
    for (auto& it : reader.objects("hosts"))
    {
        host h;
        it.read("id", h.id);
        it.read("zone", h.zone);
        it.read("rack", h.rack);
        it.read("processors", h.processors);
        it.read("memory_gb", h.memory_gb);
        it.read("accelerators", h.accelerators);
        if (h.id.empty())
        {
            it.add_finding("id", "is missing");
        }
        all.push_back(std::move(h));
    }
    auto wrong = reader.finish();
    if (!wrong.empty())
    {
        return wrong;
    }
    return all;
}

} // namespace camphorhitch::standin_worker
