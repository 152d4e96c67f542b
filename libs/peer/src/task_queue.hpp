/// \file
/// Passes tasks from other threads to the peer thread.
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

/// Objects of the peer thread that tasks may use.
struct peer_thread_objects
{
    calls& outgoing;
    service& incoming;
};

using task = std::function<void(peer_thread_objects&)>;

/// A queue with an eventfd that wakes the event loop of the peer thread. kj::Executor would suffice
/// for threads that run a kj event loop of their own, but the decision thread runs an ACE event
/// loop.
class task_queue
{
public:
    task_queue();

    /// May be called on any thread. A task posted after the loop has ended never runs.
    void post(task fn);

    /// Runs tasks on the peer thread until stop() is called.
    kj::Promise<void> run(kj::LowLevelAsyncIoProvider& io, peer_thread_objects parts);

    /// May be called on any thread.
    void stop();

private:
    kj::Promise<void> wait_for_tasks(
        kj::Own<kj::AsyncInputStream> event_stream, peer_thread_objects parts);
    /// \return false after stop() was called.
    bool run_pending(peer_thread_objects& parts);
    void wake_loop();

    kj::AutoCloseFd event_fd_;
    std::mutex mutex_;
    std::vector<task> pending_;
    bool stopped_ = false;
    /// Last value read from the eventfd; used on the peer thread only.
    std::uint64_t event_count_ = 0;
};

} // namespace camphorhitch::peer
