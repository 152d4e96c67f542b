#include "standin_support/faults.hpp"

#include <utility>

namespace camphorhitch::standin_support
{

namespace
{

void read_mode(object_reader& command, const char* name, outage_mode& to)
{
    std::string text;
    if (!command.read(name, text))
    {
        return;
    }
    const auto mode = core::value_of(outage_mode_names, text);
    if (!mode)
    {
        command.add_finding(name, "must be close, refuse or hang");
        return;
    }
    to = *mode;
}

} // namespace

fault_gate::fault_gate(standin& s, std::function<void()> on_outage_end)
    : standin_(s), on_outage_end_(std::move(on_outage_end)), random_(s.settings.seed)
{
}

listener& fault_gate::listen(exchange_handler inner)
{
    inner_ = std::move(inner);
    port_ = &standin_.server.listen(
        standin_.settings.port, [this](const exchange_ptr& pending) { admit(pending); });
    return *port_;
}

bool fault_gate::is_partitioned(const ports::http_request& r) const
{
    const auto* const member = ports::find_field(r.fields, member_header);
    return member != nullptr && partition_.contains(*member);
}

void fault_gate::admit(const exchange_ptr& pending)
{
    if (in_outage_)
    {
        fail(pending, mode_);
        return;
    }
    if (is_partitioned(pending->request))
    {
        fail(pending, partition_mode_);
        return;
    }
    if (random_.chance(drop_requests_))
    {
        pending->cut();
        return;
    }
    if (slow_ == core::millis{0})
    {
        inner_(pending);
        return;
    }
    // A write is done even if its caller has closed the connection during the delay, as in a real
    // service with a long queue.
    const auto serve_late = [this, pending]
    {
        if (in_outage_)
        {
            fail(pending, mode_);
            return;
        }
        inner_(pending);
    };
    standin_.loop.after(slow_, serve_late);
}

void fault_gate::fail(const exchange_ptr& pending, outage_mode mode)
{
    if (mode == outage_mode::hang)
    {
        hung_.push_back(pending);
        return;
    }
    pending->cut();
}

bool fault_gate::loses_answer(const std::string& key)
{
    if (!key.starts_with(lose_prefix_))
    {
        return false;
    }
    if (lose_next_ > 0)
    {
        --lose_next_;
        return true;
    }
    return random_.chance(lose_answers_);
}

void fault_gate::answer_write(
    const exchange_ptr& pending, const std::string& key, const ports::http_response& r)
{
    if (loses_answer(key))
    {
        ++lost_answers_;
        pending->cut();
        return;
    }
    pending->respond(r);
}

void fault_gate::begin_outage(core::millis length, outage_mode mode)
{
    in_outage_ = true;
    mode_ = mode;
    const auto number = ++last_outage_;
    if (mode == outage_mode::hang)
    {
        port_->silence([] { return true; });
    }
    else
    {
        port_->cut_connections();
    }
    if (mode == outage_mode::refuse)
    {
        port_->close();
    }
    const auto end = [this, number]
    {
        if (number == last_outage_)
        {
            end_outage();
        }
    };
    standin_.loop.after(length, end);
}

void fault_gate::end_outage()
{
    in_outage_ = false;
    for (const auto& it : std::exchange(hung_, {}))
    {
        it->cut();
    }
    if (mode_ == outage_mode::hang)
    {
        port_->cut_connections();
    }
    port_->open();
    on_outage_end_();
}

void fault_gate::control(object_reader& command)
{
    std::int64_t outage_ms = 0;
    auto mode = outage_mode::close;
    read_mode(command, "outage_mode", mode);
    if (command.read("outage_ms", outage_ms))
    {
        if (outage_ms > 0)
        {
            begin_outage(core::millis{outage_ms}, mode);
        }
        else if (in_outage_)
        {
            ++last_outage_;
            end_outage();
        }
    }
    std::int64_t slow_ms = 0;
    if (command.read("slow_ms", slow_ms))
    {
        slow_ = core::millis{slow_ms};
    }
    command.read_share("lose_answers", lose_answers_);
    command.read("lose_next", lose_next_);
    command.read("lose_prefix", lose_prefix_);
    command.read_share("drop_requests", drop_requests_);
    read_mode(command, "partition_mode", partition_mode_);
    std::vector<std::string> members;
    if (command.read("partition", members))
    {
        partition_ = {members.begin(), members.end()};
    }
    std::int64_t seed = 0;
    if (command.read("seed", seed))
    {
        random_.reseed(static_cast<std::uint64_t>(seed));
    }
}

} // namespace camphorhitch::standin_support
