#include "mailbox.hpp"

#include "core/invariant.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

namespace camphorhitch::peer
{

mailbox::mailbox() : bell_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    core::require(bell_.get() >= 0, "peer: no file descriptor for the mailbox");
}

void mailbox::put(work fn)
{
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        first = waiting_.empty();
        waiting_.push_back(std::move(fn));
    }
    if (first)
    {
        ring();
    }
}

void mailbox::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    ring();
}

void mailbox::ring()
{
    const std::uint64_t one = 1;
    // Fails only when the counter is full, and then the bell rings anyway.
    [[maybe_unused]] const auto n = ::write(bell_.get(), &one, sizeof(one));
}

kj::Promise<void> mailbox::run(kj::LowLevelAsyncIoProvider& io, loop_parts parts)
{
    return next(io.wrapInputFd(bell_.get(), kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK), parts);
}

kj::Promise<void> mailbox::next(kj::Own<kj::AsyncInputStream> bell, loop_parts parts)
{
    auto rung = bell->read(&rung_, sizeof(rung_));
    return rung.then(
        [this, bell = kj::mv(bell), parts]() mutable -> kj::Promise<void>
        {
            if (!drain(parts))
            {
                return kj::READY_NOW;
            }
            return next(kj::mv(bell), parts);
        });
}

bool mailbox::drain(loop_parts& parts)
{
    std::vector<work> batch;
    {
        const std::lock_guard lock(mutex_);
        if (stopped_)
        {
            return false;
        }
        batch.swap(waiting_);
    }
    for (auto& it : batch)
    {
        it(parts);
    }
    return true;
}

} // namespace camphorhitch::peer
