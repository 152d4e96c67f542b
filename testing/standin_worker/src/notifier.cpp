#include "notifier.hpp"

#include <chrono>
#include <curl/curl.h>
#include <utility>

namespace camphorhitch::standin_worker
{

namespace
{

constexpr long call_timeout_ms = 2000;
constexpr std::chrono::milliseconds retry_delay{100};

std::size_t discard(char*, std::size_t size, std::size_t n, void*)
{
    return size * n;
}

} // namespace

notifier::notifier(std::string base, std::string token)
    : base_(std::move(base)), token_(std::move(token))
{
    if (!base_.empty())
    {
        curl_ = curl_easy_init();
        thread_ = std::thread([this] { run(); });
    }
}

notifier::~notifier()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
    }
    curl_easy_cleanup(curl_);
}

void notifier::send(message m)
{
    if (base_.empty())
    {
        return;
    }
    const std::lock_guard lock(mutex_);
    waiting_.push_back(std::move(m));
    changed_.notify_all();
}

std::size_t notifier::pending()
{
    const std::lock_guard lock(mutex_);
    return waiting_.size();
}

void notifier::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        if (waiting_.empty())
        {
            changed_.wait(lock);
            continue;
        }
        const auto first = waiting_.front();
        lock.unlock();
        const auto delivered = deliver(first);
        lock.lock();
        if (delivered)
        {
            waiting_.pop_front();
        }
        else
        {
            // The message stays first in the queue, so that the states of a host arrive in order.
            changed_.wait_for(lock, retry_delay, [this] { return stopping_; });
        }
    }
}

bool notifier::deliver(const message& m)
{
    const auto url = base_ + m.path;
    const auto field = "Authorization: Bearer " + token_;
    auto* const fields = curl_slist_append(nullptr, field.c_str());
    curl_easy_reset(curl_);
    curl_easy_setopt(curl_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl_, CURLOPT_CUSTOMREQUEST, m.method.c_str());
    curl_easy_setopt(curl_, CURLOPT_COPYPOSTFIELDS, m.body.c_str());
    curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, fields);
    curl_easy_setopt(curl_, CURLOPT_TIMEOUT_MS, call_timeout_ms);
    curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, &discard);
    const auto ec = curl_easy_perform(curl_);
    curl_slist_free_all(fields);
    return ec == CURLE_OK;
}

} // namespace camphorhitch::standin_worker
