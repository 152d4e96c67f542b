/// \file
/// Work handed to the peer thread from other threads.
#pragma once

#include <functional>
#include <kj/async-io.h>
#include <kj/io.h>
#include <mutex>
#include <vector>

namespace camphorhitch::peer
{

class calls;
class service;

/// What work on the peer thread may use.
struct loop_parts
{
    calls& outgoing;
    service& incoming;
};

using work = std::function<void(loop_parts&)>;

/// A queue with an eventfd that wakes the peer thread's loop. kj::Executor would do for threads
/// that run a kj loop of their own; the decisions' thread runs ACE's.
class mailbox
{
public:
    mailbox();

    /// From any thread; work put in after the loop has ended is never run.
    void put(work fn);

    /// On the peer thread: ends when stop() was called.
    kj::Promise<void> run(kj::LowLevelAsyncIoProvider& io, loop_parts parts);

    /// From any thread.
    void stop();

private:
    kj::Promise<void> next(kj::Own<kj::AsyncInputStream> bell, loop_parts parts);
    /// \return whether to go on.
    bool drain(loop_parts& parts);
    void ring();

    kj::AutoCloseFd bell_;
    std::mutex mutex_;
    std::vector<work> waiting_;
    bool stopped_ = false;
    std::uint64_t rung_ = 0; ///< the eventfd's count as last read, on the peer thread only
};

} // namespace camphorhitch::peer
