#include "line_sinks.hpp"

#include <cerrno>
#include <poll.h>
#include <string>
#include <unistd.h>
#include <utility>

namespace camphorhitch::telemetry
{

namespace
{

bool is_writable(int fd)
{
    pollfd it{fd, POLLOUT, 0};
    return ::poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

} // namespace

descriptor_sink::descriptor_sink(int fd) : fd_(fd)
{
}

void descriptor_sink::sink_it_(const spdlog::details::log_msg& msg)
{
    if (dropped_ > 0 && is_writable(fd_))
    {
        write_dropped_notice(msg);
    }
    if (!write_line(msg))
    {
        ++dropped_;
    }
}

void descriptor_sink::flush_()
{
}

void descriptor_sink::write_dropped_notice(const spdlog::details::log_msg& msg)
{
    const std::string text = "event=log_lines_dropped count=" + std::to_string(dropped_);
    spdlog::details::log_msg notice = msg;
    notice.level = spdlog::level::warn;
    notice.payload = text;
    if (write_line(notice))
    {
        dropped_ = 0;
    }
}

bool descriptor_sink::write_line(const spdlog::details::log_msg& msg)
{
    spdlog::memory_buf_t text;
    formatter_->format(msg, text);
    std::size_t done = 0;
    while (done < text.size())
    {
        if (!is_writable(fd_))
        {
            return false;
        }
        const auto n = ::write(fd_, text.data() + done, text.size() - done);
        if (n < 0 && errno != EINTR)
        {
            return false;
        }
        done += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    return true;
}

function_sink::function_sink(std::function<void(std::string_view)> lines) : lines_(std::move(lines))
{
}

void function_sink::sink_it_(const spdlog::details::log_msg& msg)
{
    spdlog::memory_buf_t text;
    formatter_->format(msg, text);
    const std::string_view line{text.data(), text.size()};
    lines_(line.substr(0, line.find('\n')));
}

void function_sink::flush_()
{
}

} // namespace camphorhitch::telemetry
