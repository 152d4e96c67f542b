/// \file
/// Delivers messages to another stand-in, in order, from a separate thread.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace camphorhitch::standin_worker
{

/// One HTTP request.
struct message
{
    std::string method;
    std::string path;
    std::string body;
};

/// The queue of messages to one stand-in, and its thread.
class notifier
{
public:
    /// \param base "http://ip:port"; empty: messages are discarded
    notifier(std::string base, std::string token);
    ~notifier();
    notifier(const notifier&) = delete;
    notifier& operator=(const notifier&) = delete;

    /// Queues a message. Delivery is retried until it succeeds.
    void send(message m);

    /// \return the number of messages that are not delivered yet.
    std::size_t pending();

private:
    void run();
    /// \return whether the other stand-in answered.
    bool deliver(const message& m);

    std::string base_;
    std::string token_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<message> waiting_;
    bool stopping_ = false;
    void* curl_ = nullptr; ///< used by the thread only
    std::thread thread_;
};

} // namespace camphorhitch::standin_worker
