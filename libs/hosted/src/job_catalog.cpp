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

const core::error store_unreadable{core::error_code::unavailable, "the store can't be read now"};

/// Collects jobs from their store entries.
class job_collector
{
public:
    /// Adds the entry job/ID or job/ID/cancel.
    void add_job(const ports::stored_item& it)
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
            damaged_entry_ = it.key + ": " + core::failure(read).message;
            return;
        }
        auto& j = jobs_[id];
        j.id = id;
        j.spec = std::move(core::value(read));
    }

    /// Adds the entry state/ID. Must be called after all job entries were added: a state without a
    /// job entry belongs to a final job, or to a job that was accepted since.
    void add_state(const ports::stored_item& it)
    {
        const auto id = it.key.substr(state_prefix.size());
        const auto state = workflow::read_progress_state(it.value);
        if (!core::is_ok(state))
        {
            damaged_entry_ = it.key + ": " + core::failure(state).message;
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
            damaged_entry_ = it.key + ": " + core::failure(progress).message;
        }
    }

    core::result<std::vector<stored_job>> finish()
    {
        if (!damaged_entry_.empty())
        {
            return core::error{core::error_code::invalid, damaged_entry_};
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
    std::string damaged_entry_; ///< description of the latest damaged entry; empty if there is none
};

} // namespace

workflow::job_state effective_state(const stored_job& j)
{
    const bool is_cancelling = j.cancelled && !workflow::is_final(j.progress.state);
    return is_cancelling ? workflow::job_state::cancelled : j.progress.state;
}

void list_jobs(
    const context& c, const std::function<void(core::result<std::vector<stored_job>>)>& done)
{
    const auto collector = std::make_shared<job_collector>();
    const auto add_state = [collector](const ports::stored_item& it)
    {
        collector->add_state(it);
    };
    const auto on_end = [collector, done](bool complete)
    {
        done(complete ? collector->finish()
                      : core::result<std::vector<stored_job>>{store_unreadable});
    };
    // Jobs are read before states: a job that ends meanwhile then still has its state, which is
    // read later.
    read_range(
        c,
        job_prefix,
        [collector](const ports::stored_item& it) { collector->add_job(it); },
        [c, add_state, on_end](bool complete)
        {
            if (!complete)
            {
                on_end(false);
                return;
            }
            read_range(c, state_prefix, add_state, on_end);
        });
}

void find_job(const context& c,
    const std::string& id,
    const std::function<void(core::result<stored_job>)>& done)
{
    const auto collector = std::make_shared<job_collector>();
    const auto on_end = [collector, id, done](const ports::item_read& read)
    {
        if (read.status != kv_status::ok)
        {
            done(store_unreadable);
            return;
        }
        if (read.item)
        {
            collector->add_state(*read.item);
        }
        auto found = collector->finish();
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
        [collector, id](const ports::stored_item& it)
        {
            if (it.key == job_key(id) || it.key == cancel_key(id))
            {
                collector->add_job(it);
            }
        },
        [c, id, done, on_end](bool complete)
        {
            if (!complete)
            {
                done(store_unreadable);
                return;
            }
            c.store.get(state_key(id), ports::read_freshness::newest, on_end);
        });
}

} // namespace camphorhitch::hosted
