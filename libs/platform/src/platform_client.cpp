#include "platform/platform_client.hpp"

#include "messages.hpp"

#include <utility>

namespace camphorhitch::platform
{

namespace
{

constexpr int min_success_status = 200;
constexpr int max_success_status = 299;
constexpr int min_server_error_status = 500;

bool is_success(const ports::http_outcome& it)
{
    return it.end == ports::call_end::answered && it.response.status >= min_success_status &&
           it.response.status <= max_success_status;
}

ports::platform_status status_of(const ports::http_outcome& it)
{
    if (is_success(it))
    {
        return ports::platform_status::ok;
    }
    // A complete answer with a status from 300 to 499 proves that the command was not carried out,
    // and so does a call of which no byte was sent. Statuses from 200 to 299 are handled above, and
    // the HTTP client reports no complete answer with a status below 200. In all other cases the
    // command may have been carried out.
    const bool certainly_not_done =
        it.end == ports::call_end::not_sent ||
        (it.end == ports::call_end::answered && it.response.status < min_server_error_status);
    return certainly_not_done ? ports::platform_status::refused : ports::platform_status::unknown;
}

} // namespace

struct platform_client::parts
{
    ports::http_client http;
    std::string live_list;
    std::string workers;
    std::string token;
    core::millis timeout{0};
    counters counts;

    void call(const std::string& address,
        const char* method,
        std::string path,
        std::string body,
        std::function<void(const ports::http_outcome&)> done)
    {
        ports::http_call it;
        it.address = address;
        it.request.method = method;
        it.request.path = std::move(path);
        it.request.fields = {{"Content-Type", "application/json"}, {"Authorization", token}};
        it.request.body = std::move(body);
        it.connect_timeout = timeout;
        it.total_timeout = timeout;
        if (address.empty())
        {
            done({}); // the platform does not have this interface; nothing is sent
            return;
        }
        ++counts.calls;
        counts.bytes_out += it.request.body.size();
        http.send(std::move(it),
            [this, done = std::move(done)](const ports::http_outcome& outcome)
            {
                counts.bytes_in += outcome.response.body.size();
                counts.failures += is_success(outcome) ? 0 : 1;
                done(outcome);
            });
    }
};

platform_client::platform_client(std::shared_ptr<parts> p) : parts_(std::move(p))
{
}

const counters& platform_client::counts() const
{
    return parts_->counts;
}

ports::platform platform_client::port() const
{
    ports::platform port;
    port.read_live_list = [p = parts_](std::function<void(ports::live_list)> done)
    {
        p->call(p->live_list,
            "GET",
            "/v1/hosts",
            "",
            [done = std::move(done)](const ports::http_outcome& it)
            { done(is_success(it) ? read_live_list(it.response.body) : ports::live_list{}); });
    };
    port.reboot = [p = parts_](const std::string& host,
                      const std::string& command,
                      std::function<void(ports::platform_status)> done)
    {
        p->call(p->workers,
            "POST",
            "/v1/hosts/" + host + "/reboot",
            reboot_body(command),
            [done = std::move(done)](const ports::http_outcome& it) { done(status_of(it)); });
    };
    port.start_task = [p = parts_](const ports::task_order& order,
                          std::function<void(ports::platform_status)> done)
    {
        p->call(p->workers,
            "POST",
            "/v1/hosts/" + order.host + "/tasks",
            task_body(order),
            [done = std::move(done)](const ports::http_outcome& it) { done(status_of(it)); });
    };
    port.act_on_tasks = [p = parts_](const std::string& host,
                            const std::vector<std::string>& tasks,
                            ports::task_action action,
                            std::function<void(ports::platform_status)> done)
    {
        p->call(p->workers,
            "POST",
            "/v1/hosts/" + host + "/tasks/actions",
            action_body(tasks, action),
            [done = std::move(done)](const ports::http_outcome& it) { done(status_of(it)); });
    };
    port.read_tasks = [p = parts_](
                          const std::string& host, std::function<void(ports::task_reports)> done)
    {
        p->call(p->workers,
            "GET",
            "/v1/hosts/" + host + "/tasks",
            "",
            [host, done = std::move(done)](const ports::http_outcome& it) {
                done(is_success(it) ? read_task_reports(host, it.response.body)
                                    : ports::task_reports{});
            });
    };
    return port;
}

platform_client::builder& platform_client::builder::http(ports::http_client it)
{
    http_ = std::move(it);
    return *this;
}

platform_client::builder& platform_client::builder::live_list(std::string address)
{
    live_list_ = std::move(address);
    return *this;
}

platform_client::builder& platform_client::builder::workers(std::string address)
{
    workers_ = std::move(address);
    return *this;
}

platform_client::builder& platform_client::builder::token(std::string it)
{
    token_ = std::move(it);
    return *this;
}

platform_client::builder& platform_client::builder::timeout(core::millis it)
{
    timeout_ = it;
    return *this;
}

core::result<platform_client> platform_client::builder::build() const
{
    if (!http_.send || timeout_.count() <= 0)
    {
        return core::error{
            core::error_code::invalid, "the platform needs an HTTP client and a timeout"};
    }
    auto p = std::make_shared<parts>();
    p->http = http_;
    p->live_list = live_list_;
    p->workers = workers_;
    p->token = token_;
    p->timeout = timeout_;
    return platform_client{std::move(p)};
}

} // namespace camphorhitch::platform
