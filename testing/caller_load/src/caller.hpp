/// \file
/// A caller that sends requests and their repeats and checks the answers.
#pragma once

#include "plan.hpp"

#include <atomic>
#include <chrono>
#include <curl/curl.h>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace camphorhitch::load
{

/// One request of the schedule.
struct planned_request
{
    std::string id;
    const request_kind* type = nullptr;
    std::string service;
    bool keyed = false;
    std::size_t first_entry = 0; ///< index of the first entry to call; repeats use the next ones
    std::chrono::steady_clock::time_point due;
};

/// Result of one call of a request.
struct call_record
{
    std::string id;
    std::string entry;
    int repeat = 0;
    int status = 0;      ///< 0: no HTTP answer
    std::string outcome; ///< outcome field of the answer; "broken" without a complete HTTP answer
    std::string attempt; ///< "not-sent" or empty
    std::string reason;
    bool own_answer = true; ///< false if an answered body did not carry this request's id
    long begin_ms = 0;      ///< wall time in ms since 1970
    double elapsed_ms = 0;  ///< duration of this call
};

/// Result of a request after its repeats.
struct request_record
{
    std::string type;
    bool keyed = false;
    std::string outcome;
    bool successful = false; ///< answered with 200
    int calls = 0;
    double elapsed_ms = 0; ///< time from the scheduled start to the last answer
};

/// Collects the records of all threads.
class recorder
{
public:
    /// \param file receives one JSON line per call; empty: no file
    explicit recorder(const std::string& file);
    void add(const planned_request& p, const call_record& c);
    void add(request_record r);
    const std::vector<request_record>& requests() const;
    /// \return the number of answers that did not carry their request's id.
    std::size_t foreign_answers() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::vector<request_record> requests_;
    std::size_t foreign_answers_ = 0;
};

/// One caller with its connections.
class caller
{
public:
    caller(const plan& p, recorder& r);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    /// Sends a request, and repeats it until it is answered or the repeats are used up.
    void run(const planned_request& p);

private:
    call_record call(const planned_request& p, const std::string& entry, int repeat);

    const plan& plan_;
    recorder& recorder_;
    CURL* easy_;
};

} // namespace camphorhitch::load
