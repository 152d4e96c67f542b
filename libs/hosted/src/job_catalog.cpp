#include "hosted/job_catalog.hpp"

#include "hosted/keys.hpp"
#include "hosted/range_reader.hpp"
#include "workflow/records.hpp"

#include <algorithm>
#include <map>
#include <memory>

namespace camphorhitch::hosted
{

namespace
{

using ports::kv_status;

const core::error store_unread{core::error_code::unavailable, "the store can't be read now"};

/// Jobs put together from their keys.
class collector
{
public:
    /// job/ID, or job/ID/cancel.
    void take_job(const ports::stored_item& it)
    {
        if (it.key == handover_key)
        {
            return;
        }
        auto id = it.key.substr(job_prefix.size());
        if (id.ends_with(cancel_suffix))
        {
            id.resize(id.size() - cancel_suffix.size());
            cancelled_.push_back(std::move(id));
            return;
        }
        auto read = workflow::read_job(it.value);
        if (!core::is_ok(read))
        {
            problem_ = it.key + ": " + core::failure(read).message;
            return;
        }
        auto& j = jobs_[id];
        j.id = id;
        j.spec = std::move(core::value(read));
    }

    /// state/ID; call it after all jobs: an entry without a job is final, or the job came since.
    void take_state(const ports::stored_item& it)
    {
        const auto id = it.key.substr(state_prefix.size());
        const auto state = workflow::read_progress_state(it.value);
        if (!core::is_ok(state))
        {
            problem_ = it.key + ": " + core::failure(state).message;
            return;
        }
        auto found = jobs_.find(id);
        if (found == jobs_.end() && !workflow::is_final(core::value(state)))
        {
            return;
        }
        auto& j = jobs_[id];
        j.id = id;
        j.progress.state = core::value(state);
        if (!j.spec || workflow::is_final(j.progress.state))
        {
            return;
        }
        auto progress = workflow::read_progress(*j.spec, it.value);
        if (core::is_ok(progress))
        {
            j.progress = std::move(core::value(progress));
        }
        else
        {
            problem_ = it.key + ": " + core::failure(progress).message;
        }
    }

    core::result<std::vector<stored_job>> finish()
    {
        if (!problem_.empty())
        {
            return core::error{core::error_code::invalid, problem_};
        }
        for (const auto& id : cancelled_)
        {
            if (const auto it = jobs_.find(id); it != jobs_.end())
            {
                it->second.cancelled = true;
            }
        }
        std::vector<stored_job> out;
        for (auto& [id, it] : jobs_)
        {
            out.push_back(std::move(it));
        }
        return out;
    }

private:
    std::map<std::string, stored_job> jobs_;
    std::vector<std::string> cancelled_;
    std::string problem_; ///< the latest damaged entry
};

} // namespace

workflow::job_state shown_state(const stored_job& j)
{
    const bool ends = j.cancelled && !workflow::is_final(j.progress.state);
    return ends ? workflow::job_state::cancelled : j.progress.state;
}

void list_jobs(
    const context& c, const std::function<void(core::result<std::vector<stored_job>>)>& done)
{
    const auto all = std::make_shared<collector>();
    const auto take_state = [all](const ports::stored_item& it)
    {
        all->take_state(it);
    };
    const auto end = [all, done](bool whole)
    {
        done(whole ? all->finish() : core::result<std::vector<stored_job>>{store_unread});
    };
    // Jobs first: one that ends meanwhile then still has its state, which is read later.
    read_range(
        c,
        job_prefix,
        [all](const ports::stored_item& it) { all->take_job(it); },
        [c, take_state, end](bool whole)
        {
            if (!whole)
            {
                end(false);
                return;
            }
            read_range(c, state_prefix, take_state, end);
        });
}

void find_job(const context& c,
    const std::string& id,
    const std::function<void(core::result<stored_job>)>& done)
{
    const auto all = std::make_shared<collector>();
    const auto end = [all, id, done](const ports::item_read& read)
    {
        if (read.status != kv_status::ok)
        {
            done(store_unread);
            return;
        }
        if (read.item)
        {
            all->take_state(*read.item);
        }
        auto found = all->finish();
        if (!core::is_ok(found))
        {
            done(core::failure(found));
            return;
        }
        auto& jobs = core::value(found);
        if (jobs.empty())
        {
            done(core::error{core::error_code::not_found, "no job named " + id});
            return;
        }
        done(std::move(jobs.front()));
    };
    read_range(
        c,
        job_key(id),
        [all, id](const ports::stored_item& it)
        {
            if (it.key == job_key(id) || it.key == cancel_key(id))
            {
                all->take_job(it);
            }
        },
        [c, id, done, end](bool whole)
        {
            if (!whole)
            {
                done(store_unread);
                return;
            }
            c.store.get(state_key(id), ports::read_freshness::newest, end);
        });
}

} // namespace camphorhitch::hosted
