#include "task_queue.hpp"

#include "core/invariant.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

namespace camphorhitch::peer
{

task_queue::task_queue() : event_fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    core::require(event_fd_.get() >= 0, "peer: can't create the eventfd of the task queue");
}

void task_queue::post(task fn)
{
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        first = pending_.empty();
        pending_.push_back(std::move(fn));
    }
    if (first)
    {
        wake_loop();
    }
}

void task_queue::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    wake_loop();
}

void task_queue::wake_loop()
{
    const std::uint64_t one = 1;
    // The write fails only when the counter is at its maximum, and the loop is woken in that case
    // too.
    [[maybe_unused]] const auto n = ::write(event_fd_.get(), &one, sizeof(one));
}

kj::Promise<void> task_queue::run(kj::LowLevelAsyncIoProvider& io, peer_thread_objects parts)
{
    return wait_for_tasks(
        io.wrapInputFd(event_fd_.get(), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK), parts);
}

kj::Promise<void> task_queue::wait_for_tasks(
    kj::Own<kj::AsyncInputStream> event_stream, peer_thread_objects parts)
{
    auto woken = event_stream->read(&event_count_, sizeof(event_count_));
    return woken.then(
        [this, event_stream = kj::mv(event_stream), parts]() mutable -> kj::Promise<void>
        {
            if (!run_pending(parts))
            {
                return kj::READY_NOW;
            }
            return wait_for_tasks(kj::mv(event_stream), parts);
        });
}

bool task_queue::run_pending(peer_thread_objects& parts)
{
    std::vector<task> batch;
    {
        const std::lock_guard lock(mutex_);
        if (stopped_)
        {
            return false;
        }
        batch.swap(pending_);
    }
    for (auto& it : batch)
    {
        it(parts);
    }
    return true;
}

} // namespace camphorhitch::peer
