/// \file
/// Shared fixtures: a scheduler whose queue is drained by the test's own thread, and networks with
/// handlers that return empty replies.
#pragma once

#include "peer/network.hpp"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace camphorhitch::peer::testing
{

/// Longest time that a test waits for an expected event.
constexpr std::chrono::seconds max_wait{20};

/// A queue that any thread fills and the test's thread empties.
class test_scheduler
{
public:
    ports::scheduler port()
    {
        ports::scheduler s;
        s.post = [this](std::function<void()> fn)
        {
            const std::lock_guard lock(mutex_);
            queue_.push_back(std::move(fn));
            filled_.notify_one();
        };
        return s;
    }

    /// Runs posted functions until \p met returns true.
    /// \return false when that took longer than max_wait.
    bool run_until(const std::function<bool()>& met)
    {
        const auto end = std::chrono::steady_clock::now() + max_wait;
        while (!met())
        {
            std::unique_lock lock(mutex_);
            if (!filled_.wait_until(lock, end, [this]() { return !queue_.empty(); }))
            {
                return false;
            }
            auto fn = std::move(queue_.front());
            queue_.pop_front();
            lock.unlock();
            fn();
        }
        return true;
    }

private:
    std::mutex mutex_;
    std::condition_variable filled_;
    std::deque<std::function<void()>> queue_;
};

/// Handlers that answer immediately with an empty reply.
inline ports::peer_handlers empty_reply_handlers()
{
    ports::peer_handlers h;
    h.beat = [](auto, auto reply)
    {
        reply({});
    };
    h.request_permit = [](auto, auto reply)
    {
        reply({});
    };
    h.return_permits = [](auto, auto reply)
    {
        reply({});
    };
    h.query_held = [](auto, auto reply)
    {
        reply({});
    };
    h.claim = [](auto, auto reply)
    {
        reply({});
    };
    h.finish_claim = [](auto, auto reply)
    {
        reply({});
    };
    h.copy_claim = [](auto, auto reply)
    {
        reply({});
    };
    h.pull_slots = [](auto, auto reply)
    {
        reply({});
    };
    h.explain = [](auto, auto reply)
    {
        reply({});
    };
    return h;
}

/// A complete builder, for tests that change only the settings under test. All timeouts are long.
inline network::builder default_builder(test_scheduler& loop)
{
    network::builder b;
    b.listen("127.0.0.1:0").token("secret").scheduler(loop.port()).handlers(empty_reply_handlers());
    b.connect_timeout(max_wait);
    for (const auto& it : call_kind_names)
    {
        b.timeout(it.value, max_wait);
    }
    return b;
}

inline std::unique_ptr<network> build_network(network::builder& b)
{
    auto made = b.build();
    return core::is_ok(made) ? std::move(core::value(made)) : nullptr;
}

inline std::string address_of(const network& n)
{
    return "127.0.0.1:" + std::to_string(n.port());
}

/// The result of one call, once it has ended.
template <class Reply>
struct call_record
{
    int ends = 0;
    ports::peer_status status = ports::peer_status::ok;
    Reply reply;

    ports::peer_callback<Reply> callback()
    {
        return [this](ports::peer_status s, Reply r)
        {
            ++ends;
            status = s;
            reply = std::move(r);
        };
    }
};

} // namespace camphorhitch::peer::testing
