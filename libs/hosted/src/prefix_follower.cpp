#include "hosted/prefix_follower.hpp"

#include <utility>

namespace camphorhitch::hosted
{

/// Callbacks hold it by weak pointer: an answer may come after the follower's end.
struct follower_state : std::enable_shared_from_this<follower_state>
{
    context ctx;
    follower_settings settings;
    follower_events events;
    core::mono_time last_answer;
    ports::revision revision = 0;
    ports::revision through = 0;
    std::vector<ports::stored_item> pages;
    int pages_read = 0;
    ports::timer_id timer = 0;
    bool answering = true;

    void note_answer(bool ok, const char* call);
    void later(core::millis delay, void (follower_state::*next)());
    void read_all();
    void read_page();
    void take_page(ports::page_read page);
    void watch();
    void take_changes(ports::changes_read read);
};

void follower_state::note_answer(bool ok, const char* call)
{
    if (ok)
    {
        last_answer = ctx.time.now();
    }
    if (ok != answering)
    {
        answering = ok;
        ctx.tel.log(ok ? ports::log_level::info : ports::log_level::warning,
            ok ? "store_regained" : "store_lost",
            {{"prefix", settings.prefix}, {"call", call}});
    }
}

void follower_state::later(core::millis delay, void (follower_state::*next)())
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
    revision = 0;
    read_page();
}

void follower_state::read_page()
{
    const auto after = pages.empty() ? std::string{} : pages.back().key;
    ctx.store.range(settings.prefix,
        after,
        [weak = weak_from_this()](ports::page_read page)
        {
            if (const auto self = weak.lock())
            {
                self->take_page(std::move(page));
            }
        });
}

void follower_state::take_page(ports::page_read page)
{
    const bool ok = page.status == ports::kv_status::ok;
    note_answer(ok, "range");
    if (!ok)
    {
        // Begun anew, a reading of many pages would never end where one call in a few fails. The
        // pages before stay good, however old: the watch tells what has changed since the first.
        later(settings.retry, &follower_state::read_page);
        return;
    }
    if (revision == 0)
    {
        // Pages are read one after the other, and are no snapshot. Watching from the first one's
        // revision brings every change made meanwhile once more, which does no harm; the last one's
        // could miss some. If that history is gone by then, the watch says so: all is read anew.
        revision = page.store_revision;
    }
    ++pages_read;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(pages));
    if (page.more && !pages.empty())
    {
        read_page();
        return;
    }
    through = std::max(through, revision); // the events may ask for it
    events.on_all(std::exchange(pages, {}));
    watch();
}

void follower_state::watch()
{
    ctx.store.watch(settings.prefix,
        revision,
        settings.wait,
        [weak = weak_from_this()](ports::changes_read read)
        {
            if (const auto self = weak.lock())
            {
                self->take_changes(std::move(read));
            }
        });
}

void follower_state::take_changes(ports::changes_read read)
{
    if (read.change_log_truncated)
    {
        note_answer(true, "watch");
        ctx.tel.log(ports::log_level::info,
            "history_lost",
            {{"prefix", settings.prefix}, {"revision", std::to_string(revision)}});
        read_all();
        return;
    }
    const bool ok = read.status == ports::kv_status::ok;
    note_answer(ok, "watch");
    if (!ok)
    {
        later(settings.retry, &follower_state::watch);
        return;
    }
    revision = std::max(revision, read.store_revision);
    through = std::max(through, revision);
    if (!read.changes.empty())
    {
        events.on_changes(std::move(read.changes));
    }
    later(settings.pause, &follower_state::watch);
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

core::mono_time prefix_follower::last_answer() const
{
    return state_->last_answer;
}

ports::revision prefix_follower::through() const
{
    return state_->through;
}

int prefix_follower::pages_read() const
{
    return state_->pages_read;
}

} // namespace camphorhitch::hosted
