#include "job_fakes/store.hpp"

namespace camphorhitch::job_fakes
{

namespace
{

bool apply(store& s, int bucket, const jobs::job_document& d, std::int64_t expected)
{
    store::entry& it = s.entries.at(static_cast<std::size_t>(bucket));
    if (it.revision != expected)
    {
        s.conflicts += 1;
        return false;
    }
    it.document = d;
    s.newest_revision += 1;
    it.revision = s.newest_revision;
    s.writes += 1;
    if (s.on_stored)
    {
        s.on_stored(it.document);
    }
    return true;
}

} // namespace

write_answer put_if(store& s, int bucket, const jobs::job_document& d, std::int64_t expected)
{
    if (bucket == s.refused_bucket)
    {
        return {jobs::write_result::unknown, 0};
    }
    const write_fault fault = s.next_fault ? s.next_fault() : write_fault::none;
    switch (fault)
    {
    case write_fault::no_effect:
        return {jobs::write_result::unknown, 0};
    case write_fault::late:
        s.late.push_back({bucket, expected, d});
        return {jobs::write_result::unknown, 0};
    case write_fault::lost_answer:
        apply(s, bucket, d, expected);
        return {jobs::write_result::unknown, 0};
    case write_fault::none:
        break;
    }
    if (!apply(s, bucket, d, expected))
    {
        return {jobs::write_result::conflict, 0};
    }
    return {jobs::write_result::stored, s.newest_revision};
}

void deliver_late_write(store& s, std::size_t n)
{
    const late_write it = s.late.at(n);
    s.late.erase(s.late.begin() + static_cast<std::ptrdiff_t>(n));
    apply(s, it.bucket, it.document, it.expected);
}

} // namespace camphorhitch::job_fakes
