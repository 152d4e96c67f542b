/// \file
/// One caller: sends a request and its repeats, and judges the answers.
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
struct planned
{
    std::string id;
    const kind* type = nullptr;
    std::string service;
    bool keyed = false;
    std::size_t first_entry = 0;
    std::chrono::steady_clock::time_point due;
};

/// How one call of a request ended.
struct call_record
{
    std::string id;
    std::string entry;
    int repeat = 0;
    int status = 0;      ///< 0: no HTTP answer
    std::string outcome; ///< as told; "broken" when no whole HTTP answer came
    std::string attempt; ///< "not-sent" or empty
    std::string reason;
    bool own_answer = true; ///< an answered body carried this request's id
    long begin_ms = 0;      ///< wall time
    double elapsed_ms = 0;  ///< of this call
};

/// How a request ended after its repeats.
struct request_record
{
    std::string type;
    bool keyed = false;
    std::string outcome;
    bool good = false; ///< answered with 200
    int calls = 0;
    double elapsed_ms = 0; ///< from when it was due to its last answer
};

/// Collects records of all threads.
class recorder
{
public:
    explicit recorder(const std::string& file);
    void add(const planned& p, const call_record& c);
    void add(request_record r);
    const std::vector<request_record>& requests() const;
    std::size_t foreign_answers() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::vector<request_record> requests_;
    std::size_t foreign_answers_ = 0;
};

class caller
{
public:
    caller(const plan& p, recorder& r);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    void run(const planned& p);

private:
    call_record call(const planned& p, const std::string& entry, int repeat);

    const plan& plan_;
    recorder& recorder_;
    CURL* easy_;
};

} // namespace camphorhitch::load
