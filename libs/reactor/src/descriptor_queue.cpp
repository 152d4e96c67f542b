#include "core/invariant.hpp"
#include "loop_state.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace camphorhitch::reactor
{

descriptor_queue::descriptor_queue(watch_handler& watches) : watches_(watches)
{
    core::require(::pipe2(pipe_, O_NONBLOCK | O_CLOEXEC) == 0,
        "a pipe for the descriptor queue can be opened");
    watches_.watch(pipe_[0], true, false, [this](fd_events) { run(); });
}

descriptor_queue::~descriptor_queue()
{
    watches_.unwatch(pipe_[0]);
    ::close(pipe_[0]);
    ::close(pipe_[1]);
}

void descriptor_queue::post(std::function<void()> fn)
{
    waiting_.push_back(std::move(fn));
    if (waiting_.size() == 1)
    {
        const char byte = 0;
        core::require(::write(pipe_[1], &byte, 1) == 1, "an empty pipe takes a byte");
    }
}

void descriptor_queue::run()
{
    char byte = 0;
    core::require(::read(pipe_[0], &byte, 1) == 1, "waiting functions have a byte in the pipe");
    const auto batch = std::exchange(waiting_, {});
    for (const auto& it : batch)
    {
        it();
    }
}

} // namespace camphorhitch::reactor
