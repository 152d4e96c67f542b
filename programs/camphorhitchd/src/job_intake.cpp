#include "job_intake.hpp"

#include "jobs/codec.hpp"

#include <memory>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis batch_delay{5}; ///< wait of a burst's first request for the others

intake_outcome outcome_of(const std::string& id, const jobs::submit_outcome& it)
{
    intake_outcome out{id, core::error_code::invalid, false, ""};
    if (const auto* good = std::get_if<jobs::accepted>(&it))
    {
        out.accepted = true;
        out.text = std::string(good->is_repeat ? "known, " : "accepted, ") +
                   std::string(core::name_of(jobs::job_state_names, good->state));
    }
    else if (std::holds_alternative<jobs::other_body>(it))
    {
        out.code = core::error_code::conflict;
        out.text = "another job has this id";
    }
    else if (const auto* never = std::get_if<jobs::never_fits>(&it))
    {
        out.text = "can never run: " + never->reason;
    }
    else if (std::holds_alternative<jobs::document_full>(it))
    {
        out.code = core::error_code::unavailable;
        out.text = "the pool's queue of jobs is full";
    }
    else
    {
        out.text = core::to_text(std::get<core::findings>(it));
    }
    return out;
}

/// Collects the outcomes from several documents and calls back once, with the outcomes in the order
/// of the requests.
struct outcome_collector
{
    std::vector<intake_outcome> outcomes;
    std::size_t pending = 0;
    intake_callback done;

    std::function<void(intake_outcome)> callback_for(
        const std::shared_ptr<outcome_collector>& self, std::size_t index)
    {
        return [self, index](intake_outcome it)
        {
            self->outcomes[index] = std::move(it);
            if (--self->pending == 0)
            {
                self->done(std::move(self->outcomes));
            }
        };
    }
};

std::shared_ptr<outcome_collector> make_collector(std::size_t n, intake_callback done)
{
    auto all = std::make_shared<outcome_collector>();
    all->outcomes.resize(n);
    all->pending = n;
    all->done = std::move(done);
    return all;
}

} // namespace

job_intake::job_intake(context& c, fleet_service& fleet, jobs::settings rules)
    : context_(c), fleet_(fleet), rules_(rules)
{
}

void job_intake::submit(
    const std::string& pool, const std::vector<jobs::submission>& all, intake_callback done)
{
    if (all.empty())
    {
        done({});
        return;
    }
    const auto collector = make_collector(all.size(), std::move(done));
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        add(pool, {all[i], all[i].id, "", collector->callback_for(collector, i)});
    }
}

void job_intake::cancel(const std::string& pool,
    const std::vector<std::string>& ids,
    const std::string& command,
    intake_callback done)
{
    if (ids.empty())
    {
        done({});
        return;
    }
    const auto collector = make_collector(ids.size(), std::move(done));
    for (std::size_t i = 0; i < ids.size(); ++i)
    {
        add(pool, {std::nullopt, ids[i], command, collector->callback_for(collector, i)});
    }
}

void job_intake::add(const std::string& pool, entry it)
{
    const auto key = jobs::document_key(pool, jobs::bucket_of(it.id));
    pool_of_key_[key] = pool;
    queues_[key].waiting.push_back(std::move(it));
    schedule_write(key);
}

void job_intake::schedule_write(const std::string& key)
{
    auto& q = queues_[key];
    if (q.writing || q.scheduled || q.waiting.empty())
    {
        return;
    }
    q.scheduled = true;
    context_.scheduler.after(batch_delay, [this, key] { write(key); });
}

void job_intake::write(const std::string& key)
{
    auto& q = queues_[key];
    q.scheduled = false;
    q.writing = true;
    auto batch = std::make_shared<std::vector<entry>>(std::exchange(q.waiting, {}));
    auto outcomes = std::make_shared<std::vector<intake_outcome>>();
    update_document(
        context_.document_updater(),
        key,
        [this, key, batch, outcomes](const std::string* current)
        { return apply_batch(key, current, *batch, *outcomes); },
        [this, key, batch, outcomes](const core::result<core::done>& end)
        { finish(key, *batch, *outcomes, end); });
}

change_result job_intake::apply_batch(const std::string& key,
    const std::string* current,
    const std::vector<entry>& batch,
    std::vector<intake_outcome>& outcomes)
{
    const auto& pool = pool_of_key_.at(key);
    const auto* hosts = fleet_.find_pool(pool);
    if (hosts == nullptr)
    {
        return core::error{core::error_code::not_found, "no pool named " + pool};
    }
    jobs::job_document document;
    document.pool = pool;
    document.bucket = jobs::bucket_of(batch.front().id);
    if (current != nullptr)
    {
        auto decoded = jobs::decode_jobs(*current, key);
        if (const auto* findings = std::get_if<core::findings>(&decoded))
        {
            return core::error{core::error_code::unavailable, core::to_text(*findings)};
        }
        document = std::get<jobs::job_document>(std::move(decoded));
    }
    const auto now = context_.scheduler.wall_now();
    const jobs::submit_input in{hosts->document, fleet_.config().teams, rules_, now};
    outcomes.clear();
    for (const auto& it : batch)
    {
        if (it.submitted)
        {
            outcomes.push_back(
                outcome_of(it.id, jobs::submit(document, {*it.submitted}, in).front()));
            continue;
        }
        const auto how = jobs::cancel(document, {it.id}, it.command, now).front();
        const bool found = how != jobs::cancel_outcome::not_found;
        outcomes.push_back({it.id,
            core::error_code::not_found,
            found,
            std::string(core::name_of(jobs::cancel_outcome_names, how))});
    }
    auto text = jobs::encode(document);
    if (current != nullptr && text == *current)
    {
        return std::optional<std::string>{};
    }
    return std::optional<std::string>{std::move(text)};
}

void job_intake::finish(const std::string& key,
    const std::vector<entry>& batch,
    const std::vector<intake_outcome>& outcomes,
    const core::result<core::done>& end)
{
    queues_[key].writing = false;
    for (std::size_t i = 0; i < batch.size(); ++i)
    {
        if (core::is_ok(end))
        {
            batch[i].done(outcomes[i]);
        }
        else
        {
            const auto& ec = core::failure(end);
            batch[i].done({batch[i].id, ec.code, false, ec.message});
        }
    }
    schedule_write(key);
}

} // namespace camphorhitch::daemon
