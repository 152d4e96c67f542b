/// \file
/// spdlog sinks: one writes to a file descriptor without blocking, one calls a function.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <string_view>

namespace camphorhitch::telemetry
{

/// Writes lines to a file descriptor, and drops them while its reader is stuck.
///
/// The reader of the output may stop reading. A write to a full pipe would then block forever: the
/// daemon's event loop would stop, its heartbeats would end, and other members would take over its
/// work. A pipe that polls as writable accepts a whole line, so the descriptor is polled before
/// each write. When it is not writable, the line is dropped and counted.
class descriptor_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit descriptor_sink(int fd);

protected:
    void sink_it_(const spdlog::details::log_msg& msg) override;
    void flush_() override;

private:
    bool write_line(const spdlog::details::log_msg& msg);
    void write_dropped_notice(const spdlog::details::log_msg& msg);

    int fd_;
    std::uint64_t dropped_ = 0; ///< lines dropped since the last notice
};

/// Passes each line, without the line break, to a function.
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
