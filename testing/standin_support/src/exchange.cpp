#include "connection.hpp"

#include <microhttpd.h>
#include <sys/socket.h>
#include <utility>

namespace camphorhitch::standin_support
{

namespace
{

/// Calls \p callback at most once, even if the call leads to another call_once() of the same
/// function.
void call_once(std::function<void()>& callback)
{
    const auto taken = std::exchange(callback, nullptr);
    if (taken)
    {
        taken();
    }
}

} // namespace

void byte_stream::write(const std::string& bytes)
{
    if (open_)
    {
        pending_ += bytes;
        wake();
    }
}

void byte_stream::finish()
{
    finishing_ = true;
    wake();
}

void byte_stream::cut()
{
    open_ = false;
    wake();
    call_once(on_end);
}

void byte_stream::wake()
{
    if (waiting_)
    {
        waiting_ = false;
        MHD_resume_connection(wire_);
    }
}

void byte_stream::end()
{
    open_ = false;
    waiting_ = false;
    call_once(on_end);
}

void exchange::respond(ports::http_response r)
{
    response_ = std::move(r);
    end(end_kind::answer);
}

void exchange::truncate(ports::http_response r)
{
    response_ = std::move(r);
    end(end_kind::truncated);
}

void exchange::send_raw(const std::string& bytes)
{
    if (wire_ != nullptr && is_open() && !wire_->silent)
    {
        ::send(wire_->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    end(end_kind::cut);
}

void exchange::cut()
{
    end(end_kind::cut);
}

std::shared_ptr<byte_stream> exchange::stream(int status, const std::string& content_type)
{
    stream_ = std::make_shared<byte_stream>();
    response_.status = status;
    response_.fields = {{"Content-Type", content_type}};
    end(end_kind::stream);
    return stream_;
}

bool exchange::is_silent() const
{
    return wire_ != nullptr && wire_->silent;
}

void exchange::end(end_kind how)
{
    if (how_ == end_kind::open)
    {
        how_ = how;
        wake();
    }
}

void exchange::wake()
{
    if (wire_ != nullptr && suspended_ && !wire_->silent)
    {
        suspended_ = false;
        MHD_resume_connection(wire_->wire);
    }
}

} // namespace camphorhitch::standin_support
