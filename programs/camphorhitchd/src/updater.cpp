#include "updater.hpp"

#include <memory>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis conflict_delay{20};

struct running_update : std::enable_shared_from_this<running_update>
{
    updater update;
    std::string key;
    change_function change;
    update_callback finished;
    ports::lease_id lease = 0;
    int attempts = 0;
    std::string written;                         ///< text of the last write
    std::optional<std::string> unconfirmed_text; ///< text of a write whose answer was lost

    explicit running_update(const updater& u) : update(u)
    {
    }

    void fail(core::error_code code, const std::string& text)
    {
        const auto reported_code = unconfirmed_text && code == core::error_code::unavailable
                                       ? core::error_code::unknown_effect
                                       : code;
        finished(core::error{reported_code, key + ": " + text});
    }

    void try_update(const ports::kv_entry* current)
    {
        if (++attempts > update.max_attempts)
        {
            fail(core::error_code::unavailable, "too many conflicting changes, try again");
            return;
        }
        auto next = change(current != nullptr ? &current->value : nullptr);
        if (!core::is_ok(next))
        {
            finished(core::failure(next));
            return;
        }
        if (!core::value(next))
        {
            finished(core::done{});
            return;
        }
        put(std::move(*core::value(next)), current != nullptr ? current->modified : 0);
    }

    void put(std::string text, ports::revision expected)
    {
        written = text;
        update.store.put_if(key,
            std::move(text),
            expected,
            lease,
            [self = shared_from_this()](const ports::kv_write& reply) { self->on_written(reply); });
    }

    void on_written(const ports::kv_write& reply)
    {
        switch (reply.status)
        {
        case ports::kv_status::ok:
            update.documents.apply_entry({key, written, reply.modified, lease});
            finished(core::done{});
            return;
        case ports::kv_status::conflict:
            on_conflict(reply.current);
            return;
        case ports::kv_status::unknown:
            // The write may have taken effect although no answer came. If a read returns exactly
            // this text, it was written. Without this read a repeat would take effect twice.
            unconfirmed_text = written;
            read_again();
            return;
        case ports::kv_status::unavailable:
            fail(core::error_code::unavailable, "the key-value service can't be reached");
            return;
        case ports::kv_status::rejected:
            fail(core::error_code::unavailable, "the key-value service refused the write");
            return;
        }
    }

    void on_conflict(const ports::kv_entry& current)
    {
        update.documents.apply_entry(current);
        if (unconfirmed_text && current.value == *unconfirmed_text)
        {
            finished(core::done{});
            return;
        }
        update.scheduler.after(conflict_delay,
            [self = shared_from_this(), entry = current]
            { self->try_update(entry.key.empty() ? nullptr : &entry); });
    }

    void read_again()
    {
        update.store.get(key,
            [self = shared_from_this()](const ports::kv_read& reply) { self->on_read(reply); });
    }

    void on_read(const ports::kv_read& reply)
    {
        if (reply.status != ports::kv_status::ok)
        {
            fail(core::error_code::unavailable, "the key-value service can't be reached");
            return;
        }
        const ports::kv_entry* current = reply.entries.empty() ? nullptr : &reply.entries.front();
        if (current != nullptr)
        {
            update.documents.apply_entry(*current);
            if (unconfirmed_text && current->value == *unconfirmed_text)
            {
                finished(core::done{});
                return;
            }
        }
        try_update(current);
    }
};

} // namespace

void update_document(const updater& u,
    std::string key,
    change_function change,
    update_callback finished,
    ports::lease_id lease)
{
    auto run = std::make_shared<running_update>(u);
    run->key = std::move(key);
    run->change = std::move(change);
    run->finished = std::move(finished);
    run->lease = lease;
    run->try_update(u.documents.find(run->key));
}

} // namespace camphorhitch::daemon
