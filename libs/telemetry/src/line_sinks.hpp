/// \file
/// spdlog sinks: a file descriptor that can't block us, and a function for tests.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <string_view>

namespace camphorhitch::telemetry
{

/// Writes lines to a file descriptor, unless its reader is stuck.
///
/// Whoever reads our output may stop reading. A write to a full pipe then waits for ever: the
/// daemon's loop stands still, its heartbeats stop and the others take its work over. A pipe that
/// polls as writable takes a whole line at once, so it is asked first and the line is dropped and
/// counted when it says no.
class descriptor_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit descriptor_sink(int fd);

protected:
    void sink_it_(const spdlog::details::log_msg& msg) override;
    void flush_() override;

private:
    bool write_line(const spdlog::details::log_msg& msg);
    void tell_dropped(const spdlog::details::log_msg& msg);

    int fd_;
    std::uint64_t dropped_ = 0; ///< since the last line that told of them
};

/// Hands each line to a function.
class function_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit function_sink(std::function<void(std::string_view)> lines);

protected:
    void sink_it_(const spdlog::details::log_msg& msg) override;
    void flush_() override;

private:
    std::function<void(std::string_view)> lines_;
};

} // namespace camphorhitch::telemetry
