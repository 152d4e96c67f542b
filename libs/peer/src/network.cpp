#include "peer/network.hpp"

#include "calls.hpp"
#include "core/invariant.hpp"
#include "service.hpp"
#include "sockets.hpp"
#include "task_queue.hpp"

#include <csignal>
#include <kj/exception.h>
#include <mutex>
#include <pthread.h>
#include <thread>

namespace camphorhitch::peer
{

namespace
{

constexpr core::millis default_timeout{500};

/// Suppresses kj's output. kj writes messages about broken connections to the standard error and,
/// in some builds, starts a process to resolve the lines of a stack trace. Neither may happen in a
/// daemon.
class output_suppressor final : public kj::ExceptionCallback
{
public:
    void logMessage(kj::LogSeverity, const char*, int, int, kj::String&&) override
    {
    }

    StackTraceMode stackTraceMode() override
    {
        return StackTraceMode::NONE;
    }
};

/// Creates the event loop of the peer thread. The set-up of kj fills static tables at its first
/// use. Their guard is inside a library that the thread sanitizer doesn't instrument; the mutex
/// prevents a false report.
kj::AsyncIoContext create_event_loop()
{
    static std::mutex one_at_a_time;
    const std::lock_guard lock(one_at_a_time);
    return kj::setupAsyncIo();
}

/// Blocks all signals while it exists, so that a thread started meanwhile leaves them to the other
/// threads.
class signal_blocker
{
public:
    signal_blocker()
    {
        sigset_t all;
        ::sigfillset(&all);
        ::pthread_sigmask(SIG_SETMASK, &all, &before_);
    }

    ~signal_blocker()
    {
        ::pthread_sigmask(SIG_SETMASK, &before_, nullptr);
    }

    signal_blocker(const signal_blocker&) = delete;
    signal_blocker& operator=(const signal_blocker&) = delete;

private:
    sigset_t before_{};
};

/// Runs functions on the scheduler's thread until the network is closed.
struct reply_route
{
    std::function<void(std::function<void()>)> post;
    std::shared_ptr<bool> closed; ///< used on the scheduler's thread only

    void run(std::function<void()> fn) const
    {
        post(
            [closed = closed, fn = std::move(fn)]()
            {
                if (!*closed)
                {
                    fn();
                }
            });
    }
};

template <class Method>
core::millis timeout_for(const typename Method::request& message, core::millis base_timeout)
{
    if constexpr (Method::kind == call_kind::request_permit)
    {
        // The owner may keep the request in its queue for all of its remaining time.
        return base_timeout + std::max(message.time_left, core::millis{0});
    }
    else
    {
        return base_timeout;
    }
}

template <class Method>
void bind_client(ports::peer_client& client,
    const std::shared_ptr<task_queue>& queue,
    const reply_route& route,
    core::millis base_timeout)
{
    using request = typename Method::request;
    using reply = typename Method::reply;
    client.*Method::client = [queue, route, base_timeout](std::string address,
                                 request message,
                                 ports::peer_callback<reply> fn)
    {
        queue->post(
            [route,
                base_timeout,
                address = std::move(address),
                message = std::move(message),
                fn = std::move(fn)](peer_thread_objects& loop)
            {
                loop.outgoing.make<Method>(address,
                    message,
                    timeout_for<Method>(message, base_timeout),
                    [route, fn](call_result<reply> end)
                    { route.run([fn, end = std::move(end)]() { fn(end.status, end.reply); }); });
            });
    };
}

template <class Method>
void bind_handler(handler_calls& to,
    const std::shared_ptr<task_queue>& queue,
    const reply_route& route,
    const std::shared_ptr<const ports::peer_handlers>& handlers)
{
    using request = typename Method::request;
    using reply = typename Method::reply;
    std::get<handler_calls::handler<Method>>(to.all) = [queue, route, handlers](
                                                           incoming_call_id id, request message)
    {
        route.run(
            [queue, handlers, id, message = std::move(message)]()
            {
                (handlers.get()->*Method::handler)(message,
                    [queue, id](reply answer)
                    {
                        queue->post([id, answer = std::move(answer)](peer_thread_objects& loop)
                            { loop.incoming.reply(id, answer); });
                    });
            });
    };
}

void append(std::string& list, std::string_view item)
{
    list += list.empty() ? "" : ", ";
    list += item;
}

std::string missing_handlers(const ports::peer_handlers& handlers)
{
    std::string names;
    for_each_method(
        [&](auto method)
        {
            using type = decltype(method);
            if (!(handlers.*type::handler))
            {
                append(names, core::name_of(call_kind_names, type::kind));
            }
        });
    return names;
}

/// \return the names of the missing parts, or an empty string.
std::string missing_parts(
    const std::string& token, const ports::scheduler& s, const ports::peer_handlers& h)
{
    std::string all;
    if (token.empty())
    {
        append(all, "a token");
    }
    if (!s.post)
    {
        append(all, "a scheduler");
    }
    const auto names = missing_handlers(h);
    if (!names.empty())
    {
        append(all, "handlers for " + names);
    }
    return all;
}

} // namespace

struct network::parts
{
    call_settings outgoing;
    service_settings incoming;
    atomic_counters counts;
    std::shared_ptr<task_queue> queue = std::make_shared<task_queue>();
    std::shared_ptr<bool> closed = std::make_shared<bool>(false);
    ports::peer_client client;
    /// Owned by this object and not by the thread: the socket must stay open for as long as the
    /// process may send requests to a target, because a refused connection proves that the process
    /// has ended.
    listening_socket listening;
    std::thread thread;

    void run();
};

void network::parts::run()
{
    try
    {
        auto io = create_event_loop();
        const output_suppressor suppressor;
        calls out(io, outgoing, counts);
        service in(io, incoming, counts);
        in.start(listening.fd.get());
        queue->run(*io.lowLevelProvider, {out, in}).wait(io.waitScope);
    }
    catch (const kj::Exception& e)
    {
        // A process whose peers can't reach it any more must not continue with only a part of its
        // functions.
        core::require(false, "peer thread ended by an exception", e.getDescription().cStr());
    }
}

network::network(std::unique_ptr<parts> p) : parts_(std::move(p))
{
}

network::~network()
{
    *parts_->closed = true;
    parts_->queue->stop();
    parts_->thread.join();
}

const ports::peer_client& network::client() const
{
    return parts_->client;
}

std::uint16_t network::port() const
{
    return parts_->listening.port;
}

counters network::counters() const
{
    return snapshot(parts_->counts);
}

network::builder& network::builder::listen(std::string address)
{
    address_ = std::move(address);
    return *this;
}

network::builder& network::builder::token(std::string text)
{
    token_ = std::move(text);
    return *this;
}

network::builder& network::builder::scheduler(ports::scheduler s)
{
    scheduler_ = std::move(s);
    return *this;
}

network::builder& network::builder::handlers(ports::peer_handlers h)
{
    handlers_ = std::move(h);
    return *this;
}

network::builder& network::builder::timeout(call_kind kind, core::millis t)
{
    timeouts_[kind] = t;
    return *this;
}

network::builder& network::builder::connect_timeout(core::millis t)
{
    connect_timeout_ = t;
    return *this;
}

network::builder& network::builder::limits(peer::limits l)
{
    limits_ = l;
    return *this;
}

core::result<std::unique_ptr<network>> network::builder::build()
{
    const auto missing = missing_parts(token_, scheduler_, handlers_);
    if (!missing.empty())
    {
        return core::error{core::error_code::invalid, "peer network: it needs " + missing};
    }
    const auto at = parse_address(address_);
    if (!core::is_ok(at))
    {
        return core::failure(at);
    }
    auto listening = listen_at(core::value(at));
    if (!core::is_ok(listening))
    {
        return core::failure(listening);
    }
    auto built = std::make_unique<parts>();
    built->listening = std::move(core::value(listening));
    built->outgoing = {token_, connect_timeout_, limits_};
    built->incoming = {token_, limits_, {}};
    const reply_route route{scheduler_.post, built->closed};
    const auto handlers = std::make_shared<const ports::peer_handlers>(handlers_);
    for_each_method(
        [&](auto method)
        {
            using type = decltype(method);
            const auto own = timeouts_.find(type::kind);
            const auto base_timeout = own == timeouts_.end() ? default_timeout : own->second;
            bind_client<type>(built->client, built->queue, route, base_timeout);
            bind_handler<type>(built->incoming.handlers, built->queue, route, handlers);
        });
    {
        const signal_blocker blocker;
        built->thread = std::thread([p = built.get()]() { p->run(); });
    }
    return std::make_unique<network>(std::move(built));
}

} // namespace camphorhitch::peer
