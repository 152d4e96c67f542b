#include "peer/network.hpp"

#include "calls.hpp"
#include "core/invariant.hpp"
#include "mailbox.hpp"
#include "service.hpp"
#include "sockets.hpp"

#include <csignal>
#include <kj/exception.h>
#include <mutex>
#include <pthread.h>
#include <thread>

namespace camphorhitch::peer
{

namespace
{

constexpr core::millis usual_timeout{500};

/// kj writes its complaints about broken connections to the standard error, and in some builds it
/// starts a process to name the lines of a stack trace. Neither may happen in a daemon.
class quiet_callback final : public kj::ExceptionCallback
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

/// kj's set-up fills static tables at its first use. Their guard is inside a library that the
/// thread sanitizer can't see into; one thread at a time spares it a false report.
kj::AsyncIoContext set_up_loop()
{
    static std::mutex one_at_a_time;
    const std::lock_guard lock(one_at_a_time);
    return kj::setupAsyncIo();
}

/// Blocks all signals while it lives, so that a thread started then leaves them to the others.
class signals_blocked
{
public:
    signals_blocked()
    {
        sigset_t all;
        ::sigfillset(&all);
        ::pthread_sigmask(SIG_SETMASK, &all, &before_);
    }

    ~signals_blocked()
    {
        ::pthread_sigmask(SIG_SETMASK, &before_, nullptr);
    }

    signals_blocked(const signals_blocked&) = delete;
    signals_blocked& operator=(const signals_blocked&) = delete;

private:
    sigset_t before_{};
};

/// How work reaches the scheduler's thread, as long as the network stands.
struct way_back
{
    std::function<void(std::function<void()>)> post;
    std::shared_ptr<bool> closed; ///< on the scheduler's thread only

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
core::millis timeout_for(const typename Method::request& message, core::millis usual)
{
    if constexpr (Method::kind == call_kind::request_permit)
    {
        // The owner may hold the request in its queue for all of the time that it has left.
        return usual + std::max(message.time_left, core::millis{0});
    }
    else
    {
        return usual;
    }
}

template <class Method>
void bind_client(ports::peer_client& client,
    const std::shared_ptr<mailbox>& box,
    const way_back& back,
    core::millis usual)
{
    using request = typename Method::request;
    using reply = typename Method::reply;
    client.*Method::client =
        [box, back, usual](std::string address, request message, ports::peer_callback<reply> fn)
    {
        box->put(
            [back,
                usual,
                address = std::move(address),
                message = std::move(message),
                fn = std::move(fn)](loop_parts& loop)
            {
                loop.outgoing.make<Method>(address,
                    message,
                    timeout_for<Method>(message, usual),
                    [back, fn](call_end<reply> end)
                    { back.run([fn, end = std::move(end)]() { fn(end.status, end.reply); }); });
            });
    };
}

template <class Method>
void bind_handler(handler_calls& to,
    const std::shared_ptr<mailbox>& box,
    const way_back& back,
    const std::shared_ptr<const ports::peer_handlers>& handlers)
{
    using request = typename Method::request;
    using reply = typename Method::reply;
    std::get<handler_calls::handler<Method>>(to.all) = [box, back, handlers](
                                                           served_id id, request message)
    {
        back.run(
            [box, handlers, id, message = std::move(message)]()
            {
                (handlers.get()->*Method::handler)(message,
                    [box, id](reply answer)
                    {
                        box->put([id, answer = std::move(answer)](loop_parts& loop)
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

/// \return what a builder lacks, or an empty string.
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
    tally counts;
    std::shared_ptr<mailbox> box = std::make_shared<mailbox>();
    std::shared_ptr<bool> closed = std::make_shared<bool>(false);
    ports::peer_client client;
    /// Owned here and not by the thread: it must stay open for as long as the process may send.
    listening_socket listening;
    std::thread thread;

    void run();
};

void network::parts::run()
{
    try
    {
        auto io = set_up_loop();
        const quiet_callback quiet;
        calls out(io, outgoing, counts);
        service in(io, incoming, counts);
        in.start(listening.fd.get());
        box->run(*io.lowLevelProvider, {out, in}).wait(io.waitScope);
    }
    catch (const kj::Exception& e)
    {
        // A process that can't be asked any more must not go on half alive.
        core::require(false, "peer thread ended by an exception", e.getDescription().cStr());
    }
}

network::network(std::unique_ptr<parts> p) : parts_(std::move(p))
{
}

network::~network()
{
    *parts_->closed = true;
    parts_->box->stop();
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
    auto made = std::make_unique<parts>();
    made->listening = std::move(core::value(listening));
    made->outgoing = {token_, connect_timeout_, limits_};
    made->incoming = {token_, limits_, {}};
    const way_back back{scheduler_.post, made->closed};
    const auto handlers = std::make_shared<const ports::peer_handlers>(handlers_);
    for_each_method(
        [&](auto method)
        {
            using type = decltype(method);
            const auto own = timeouts_.find(type::kind);
            const auto usual = own == timeouts_.end() ? usual_timeout : own->second;
            bind_client<type>(made->client, made->box, back, usual);
            bind_handler<type>(made->incoming.handlers, made->box, back, handlers);
        });
    {
        const signals_blocked quiet;
        made->thread = std::thread([p = made.get()]() { p->run(); });
    }
    return std::make_unique<network>(std::move(made));
}

} // namespace camphorhitch::peer
