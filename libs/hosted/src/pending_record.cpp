#include "pending_record.hpp"

#include "record_fields.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace camphorhitch::hosted
{

namespace
{

using nlohmann::json;

core::error damaged(const std::string& what)
{
    return {core::error_code::invalid, what};
}

} // namespace

std::string write_pending(const pending_record& r)
{
    return json{{"through", r.through_revision}, {"waiting", r.waiting}}.dump();
}

core::result<pending_record> read_pending(const std::string& text)
{
    const auto from = json::parse(text, nullptr, false);
    if (!from.is_object() || !from.contains("through") || !from.contains("waiting"))
    {
        return damaged("not a record of waiting jobs: keys through and waiting expected");
    }
    pending_record out;
    const auto through_revision =
        whole_number_up_to(from.at("through"), std::numeric_limits<ports::revision>::max());
    if (!through_revision || *through_revision == 0)
    {
        return damaged("through is not a positive revision");
    }
    out.through_revision = *through_revision;
    const auto& waiting = from.at("waiting");
    if (!waiting.is_object())
    {
        return damaged("waiting is not an object");
    }
    for (const auto& [queue, it] : waiting.items())
    {
        const auto n = whole_number_up_to(it, std::numeric_limits<int>::max());
        if (!n)
        {
            return damaged("not a count of jobs for queue " + queue);
        }
        out.waiting[queue] = *n;
    }
    return out;
}

} // namespace camphorhitch::hosted
