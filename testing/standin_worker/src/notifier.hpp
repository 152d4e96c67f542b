/// \file
/// Tells another stand-in, in order, on a thread of its own.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace camphorhitch::standin_worker
{

struct message
{
    std::string method;
    std::string path;
    std::string body;
};

class notifier
{
public:
    /// \param base "http://ip:port"; empty tells nobody.
    notifier(std::string base, std::string token);
    ~notifier();
    notifier(const notifier&) = delete;
    notifier& operator=(const notifier&) = delete;

    void send(message m);

    /// \return messages not delivered yet.
    std::size_t pending();

private:
    void run();
    /// \return whether the other side answered.
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
