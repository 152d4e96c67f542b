#include "hosted/range_reader.hpp"

namespace camphorhitch::hosted
{

namespace
{

void read_after(const context& c,
    const std::string& prefix,
    const std::string& after,
    const std::function<void(const ports::stored_item&)>& on_item,
    const std::function<void(bool complete)>& on_end)
{
    c.store.range(prefix,
        after,
        [c, prefix, on_item, on_end](const ports::page_read& page)
        {
            if (page.status != ports::kv_status::ok)
            {
                on_end(false);
                return;
            }
            for (const auto& it : page.items)
            {
                on_item(it);
            }
            if (page.more && !page.items.empty())
            {
                read_after(c, prefix, page.items.back().key, on_item, on_end);
                return;
            }
            on_end(true);
        });
}

} // namespace

void read_range(const context& c,
    const std::string& prefix,
    const std::function<void(const ports::stored_item&)>& on_item,
    const std::function<void(bool complete)>& on_end)
{
    read_after(c, prefix, {}, on_item, on_end);
}

} // namespace camphorhitch::hosted
