#include "workflow/documents.hpp"

#include "describe.hpp"
#include "workflow/checks.hpp"

namespace camphorhitch::workflow
{

namespace
{

job job_of(const job_request& r)
{
    job j;
    j.payload = r.payload;
    j.steps = r.steps;
    j.timing = r.timing;
    return j;
}

} // namespace

std::variant<job_request, core::findings> read_request(
    const std::string& text, const std::string& name)
{
    auto read = checked_json::decode<job_request>(text, name, checked_json::strictness::strict);
    if (const auto* const r = std::get_if<job_request>(&read))
    {
        auto found = check_job(job_of(*r));
        for (auto& it : found)
        {
            it.where.document = name;
        }
        if (!found.empty())
        {
            return found;
        }
    }
    return read;
}

} // namespace camphorhitch::workflow
