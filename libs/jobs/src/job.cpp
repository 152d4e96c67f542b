#include "jobs/job.hpp"

#include "core/rendezvous.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <charconv>

namespace camphorhitch::jobs
{

namespace
{

/// The record may contain a worker's text, which must not fill a document.
constexpr std::size_t max_weighed_bytes = 200;

template <class Document>
auto find_in(Document& d, const std::string& id) -> decltype(d.jobs.data())
{
    const auto it =
        std::find_if(d.jobs.begin(), d.jobs.end(), [&](const job& j) { return j.id == id; });
    return it == d.jobs.end() ? nullptr : &*it;
}

std::string task_prefix(const job& j)
{
    return j.id + '/' + std::to_string(j.submitted_ms) + '.';
}

} // namespace

bool operator==(const fencing_token& a, const fencing_token& b)
{
    return a.epoch == b.epoch && a.incarnation == b.incarnation;
}

int bucket_of(const std::string& job_id)
{
    return static_cast<int>(core::stable_hash(job_id) % buckets_per_pool);
}

std::string document_key(const std::string& pool, int bucket)
{
    return model::keys::jobs + pool + '/' + std::to_string(bucket);
}

job* find_job(job_document& d, const std::string& id)
{
    return find_in(d, id);
}

const job* find_job(const job_document& d, const std::string& id)
{
    return find_in(d, id);
}

bool may_occupy_host(const job& j)
{
    switch (j.state)
    {
    case job_state::starting:
    case job_state::running:
    case job_state::checkpointing:
        return true;
    case job_state::cancelled:
        return !j.host.empty();
    default:
        return false;
    }
}

bool is_terminal(const job& j)
{
    switch (j.state)
    {
    case job_state::finished:
    case job_state::failed:
    case job_state::cancelled:
    case job_state::set_aside:
    case job_state::unknown:
        return true;
    default:
        return false;
    }
}

std::string task_name(const job& j)
{
    return task_prefix(j) + std::to_string(j.attempt);
}

std::string job_id_of_task(const std::string& task)
{
    const std::size_t n = task.find('/');
    return n == std::string::npos ? std::string{} : task.substr(0, n);
}

int attempt_of_task(const job& j, const std::string& task)
{
    const std::string prefix = task_prefix(j);
    int attempt = 0;
    if (task.compare(0, prefix.size(), prefix) == 0)
    {
        std::from_chars(task.data() + prefix.size(), task.data() + task.size(), attempt);
    }
    return attempt;
}

void enter_state(job& j, job_state next, std::int64_t now_ms, std::string rule, std::string weighed)
{
    if (weighed.size() > max_weighed_bytes)
    {
        weighed.resize(max_weighed_bytes);
    }
    std::replace_if(
        weighed.begin(), weighed.end(), [](unsigned char c) { return c < ' '; }, ' ');
    j.state = next;
    j.state_since_ms = now_ms;
    j.decision = {std::move(rule), std::move(weighed), now_ms};
    if (is_terminal(j))
    {
        j.payload.clear();
    }
    if (is_terminal(j) && !may_occupy_host(j) && next != job_state::unknown)
    {
        j.recorded_by.clear();
        j.reserved = {};
        j.expected_run_time = core::millis{0};
        j.lease_ttl = core::millis{0};
    }
}

std::string group_name(const job& j)
{
    return j.team + '/' + j.kind;
}

} // namespace camphorhitch::jobs
