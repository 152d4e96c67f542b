#include "hosted/range_reader.hpp"

namespace camphorhitch::hosted
{

namespace
{

void read_after(const context& c,
    const std::string& prefix,
    const std::string& after,
    const std::function<void(const ports::stored_item&)>& take,
    const std::function<void(bool whole)>& end)
{
    c.store.range(prefix,
        after,
        [c, prefix, take, end](const ports::page_read& page)
        {
            if (page.status != ports::kv_status::ok)
            {
                end(false);
                return;
            }
            for (const auto& it : page.items)
            {
                take(it);
            }
            if (page.more && !page.items.empty())
            {
                read_after(c, prefix, page.items.back().key, take, end);
                return;
            }
            end(true);
        });
}

} // namespace

void read_range(const context& c,
    const std::string& prefix,
    const std::function<void(const ports::stored_item&)>& take,
    const std::function<void(bool whole)>& end)
{
    read_after(c, prefix, {}, take, end);
}

} // namespace camphorhitch::hosted
