#include "hosted/prefix_follower.hpp"

#include <utility>

namespace camphorhitch::hosted
{

/// Callbacks hold the state by weak pointer, because an answer may arrive after the follower is
/// destroyed.
struct follower_state : std::enable_shared_from_this<follower_state>
{
    context ctx;
    follower_settings settings;
    follower_events events;
    core::mono_time last_answer_at;
    ports::revision revision = 0;
    ports::revision through_revision = 0;
    std::vector<ports::stored_item> pages;
    int pages_read = 0;
    std::size_t part = 0; ///< index of the part that is read at present
    std::string last_key; ///< of the pages of that part
    ports::timer_id timer = 0;
    bool store_reachable = true;

    void record_answer(bool ok, const char* call);
    void schedule(core::millis delay, void (follower_state::*next)());
    void read_all();
    void read_page();
    void apply_page(ports::page_read page);
    void watch();
    void apply_changes(ports::changes_read read);
};

void follower_state::record_answer(bool ok, const char* call)
{
    if (ok)
    {
        last_answer_at = ctx.time.now();
    }
    if (ok != store_reachable)
    {
        store_reachable = ok;
        ctx.tel.log(ok ? ports::log_level::info : ports::log_level::warning,
            ok ? "store_regained" : "store_lost",
            {{"prefix", settings.prefix}, {"call", call}});
    }
}

void follower_state::schedule(core::millis delay, void (follower_state::*next)())
{
    timer = ctx.time.after(delay,
        [weak = weak_from_this(), next]
        {
            if (const auto self = weak.lock())
            {
                self->timer = 0;
                (self.get()->*next)();
            }
        });
}

void follower_state::read_all()
{
    pages.clear();
    pages_read = 0;
    part = 0;
    last_key.clear();
    revision = 0;
    read_page();
}

void follower_state::read_page()
{
    ctx.store.range(settings.parts.empty() ? settings.prefix : settings.parts[part],
        last_key,
        [weak = weak_from_this()](ports::page_read page)
        {
            if (const auto self = weak.lock())
            {
                self->apply_page(std::move(page));
            }
        });
}

void follower_state::apply_page(ports::page_read page)
{
    const bool ok = page.status == ports::kv_status::ok;
    record_answer(ok, "range");
    if (!ok)
    {
        // The read continues with the failed page. If it started over, a read of many pages would
        // never finish where one call in a few fails. The pages read before remain usable, however
        // old they are: the watch reports what has changed since the first one.
        schedule(settings.retry_delay, &follower_state::read_page);
        return;
    }
    if (revision == 0)
    {
        // The pages are read one after the other and are not a snapshot. Watching from the revision
        // of the first page returns every change made meanwhile a second time, which is harmless;
        // watching from the revision of the last page could miss changes. If the change log no
        // longer covers the first revision by then, the watch says so and all keys are read again.
        revision = page.store_revision;
    }
    ++pages_read;
    const bool more = page.more && !page.items.empty();
    last_key = more ? page.items.back().key : std::string{};
    std::move(page.items.begin(), page.items.end(), std::back_inserter(pages));
    part += more ? 0 : 1;
    if (more || part < settings.parts.size())
    {
        read_page();
        return;
    }
    // Set first because the event handlers may read it.
    through_revision = std::max(through_revision, revision);
    events.on_all(std::exchange(pages, {}));
    watch();
}

void follower_state::watch()
{
    ctx.store.watch(settings.prefix,
        revision,
        settings.max_wait,
        [weak = weak_from_this()](ports::changes_read read)
        {
            if (const auto self = weak.lock())
            {
                self->apply_changes(std::move(read));
            }
        });
}

void follower_state::apply_changes(ports::changes_read read)
{
    if (read.change_log_truncated)
    {
        record_answer(true, "watch");
        ctx.tel.log(ports::log_level::info,
            "history_lost",
            {{"prefix", settings.prefix}, {"revision", std::to_string(revision)}});
        read_all();
        return;
    }
    const bool ok = read.status == ports::kv_status::ok;
    record_answer(ok, "watch");
    if (!ok)
    {
        schedule(settings.retry_delay, &follower_state::watch);
        return;
    }
    revision = std::max(revision, read.store_revision);
    through_revision = std::max(through_revision, revision);
    if (!read.changes.empty())
    {
        events.on_changes(std::move(read.changes));
    }
    schedule(settings.watch_delay, &follower_state::watch);
}

prefix_follower::prefix_follower(context c, follower_settings s, follower_events e)
    : state_(std::make_shared<follower_state>())
{
    state_->ctx = std::move(c);
    state_->settings = std::move(s);
    state_->events = std::move(e);
}

prefix_follower::~prefix_follower()
{
    state_->ctx.time.cancel(state_->timer);
}

void prefix_follower::start()
{
    state_->read_all();
}

core::mono_time prefix_follower::last_answer_at() const
{
    return state_->last_answer_at;
}

ports::revision prefix_follower::through_revision() const
{
    return state_->through_revision;
}

int prefix_follower::pages_read() const
{
    return state_->pages_read;
}

} // namespace camphorhitch::hosted
