#include "codec.hpp"

#include "relay.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace camphorhitch::relay
{

namespace
{

using ports::poll_answer;

/// Upper bound of the fixed part and the pointers of any item, in bytes.
constexpr std::size_t fixed_bytes = 128;
/// Each text is padded to a multiple of this size.
constexpr std::size_t word_bytes = 8;
/// Batches of this protocol are nested four levels deep.
constexpr int max_nesting = 8;

capnp::Data::Reader to_data(const std::string& text)
{
    return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string to_text(capnp::Data::Reader it)
{
    return {reinterpret_cast<const char*>(it.begin()), it.size()};
}

template <class Enum, std::size_t N>
Enum to_enum(std::uint16_t index, const core::name_table<Enum, N>&)
{
    KJ_REQUIRE(index < N, "unknown value of an enumeration", index);
    return static_cast<Enum>(index);
}

std::string to_bytes(capnp::MessageBuilder& message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

void write_body(schema::Order::Builder out, const ports::start_order& o)
{
    auto it = out.initStart();
    it.setTask(to_data(o.task));
    it.setRun(o.run);
    it.setPayload(to_data(o.payload));
    it.setLeaseUntilMs(o.lease_until_ms);
    it.setCheckpoint(to_data(o.checkpoint));
    it.setTicket(to_data(o.ticket));
}

void write_body(schema::Order::Builder out, const ports::stop_order& o)
{
    auto it = out.initStop();
    it.setTask(to_data(o.task));
    it.setRun(o.run);
}

void write_body(schema::Order::Builder out, const ports::throttle_order& o)
{
    auto it = out.initPace();
    it.setTask(to_data(o.task));
    it.setRun(o.run);
    it.setPercent(o.cpu_percent);
}

void write_body(schema::Order::Builder out, const ports::poll_order& o)
{
    auto it = out.initPoll();
    it.setLeaseUntilMs(o.lease_until_ms);
    it.setAcknowledgedThrough(o.acknowledged_through);
    it.setLongestWaitMs(o.wait.count());
}

ports::start_order read_start(schema::Start::Reader it, std::int64_t token)
{
    ports::start_order out;
    out.task = to_text(it.getTask());
    out.run = it.getRun();
    out.payload = to_text(it.getPayload());
    out.lease_until_ms = it.getLeaseUntilMs();
    out.fencing_token = token;
    out.checkpoint = to_text(it.getCheckpoint());
    out.ticket = to_text(it.getTicket());
    return out;
}

ports::poll_order read_poll(schema::Poll::Reader it, std::int64_t token)
{
    ports::poll_order out;
    out.lease_until_ms = it.getLeaseUntilMs();
    out.fencing_token = token;
    out.acknowledged_through = it.getAcknowledgedThrough();
    out.wait = core::millis{it.getLongestWaitMs()};
    return out;
}

order_body read_body(schema::Order::Reader it)
{
    const auto token = it.getFencingToken();
    switch (it.which())
    {
    case schema::Order::START:
        return read_start(it.getStart(), token);
    case schema::Order::STOP:
        return ports::stop_order{to_text(it.getStop().getTask()), it.getStop().getRun(), token};
    case schema::Order::PACE:
        return ports::throttle_order{to_text(it.getPace().getTask()),
            it.getPace().getRun(),
            it.getPace().getPercent(),
            token};
    case schema::Order::POLL:
        return read_poll(it.getPoll(), token);
    }
    KJ_FAIL_REQUIRE("unknown kind of order");
}

void write_rows(schema::PollRows::Builder out, const poll_answer& a)
{
    auto running = out.initRunning(static_cast<unsigned>(a.running.size()));
    for (unsigned i = 0; i < running.size(); ++i)
    {
        const auto& from = a.running[i];
        running[i].setTask(to_data(from.task));
        running[i].setRun(from.run);
        running[i].setCheckpoint(to_data(from.checkpoint));
        running[i].setPercent(from.progress_percent);
        running[i].setFigure(from.load_metric);
    }
    auto ended = out.initEnded(static_cast<unsigned>(a.ended.size()));
    for (unsigned i = 0; i < ended.size(); ++i)
    {
        const auto& from = a.ended[i];
        ended[i].setNumber(from.number);
        ended[i].setTask(to_data(from.task));
        ended[i].setRun(from.run);
        ended[i].setHow(static_cast<std::uint16_t>(from.outcome));
        ended[i].setCheckpoint(to_data(from.checkpoint));
    }
    out.setEndsAreAll(!a.ends_truncated);
}

poll_answer read_rows(schema::PollRows::Reader it, const ports::runner_answer& call)
{
    poll_answer out;
    out.call = call;
    for (const auto row : it.getRunning())
    {
        out.running.push_back({to_text(row.getTask()),
            row.getRun(),
            to_text(row.getCheckpoint()),
            row.getPercent(),
            row.getFigure()});
    }
    for (const auto row : it.getEnded())
    {
        out.ended.push_back({row.getNumber(),
            to_text(row.getTask()),
            row.getRun(),
            to_enum(row.getHow(), ports::run_end_names),
            to_text(row.getCheckpoint())});
    }
    out.ends_truncated = !it.getEndsAreAll();
    return out;
}

answer read_answer(schema::Answer::Reader it)
{
    answer out;
    out.number = it.getNumber();
    const ports::runner_answer call{to_enum(it.getVerdict(), ports::runner_verdict_names),
        it.getClockMs(),
        std::max<std::int64_t>(it.getBornMs(), 0)};
    if (it.hasPoll())
    {
        out.body = read_rows(it.getPoll(), call);
    }
    else
    {
        out.body = call;
    }
    return out;
}

/// Calls \p read with a reader of \p bytes.
template <class Batch, class Read>
core::result<Batch> decode(std::string_view bytes, Read read)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    {
        return core::error{core::error_code::invalid, "not a whole number of words"};
    }
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    Batch out;
    capnp::ReaderOptions options;
    options.nestingLimit = max_nesting;
    const auto failed = kj::runCatchingExceptions(
        [&]
        {
            capnp::FlatArrayMessageReader message(words, options);
            read(message, out);
        });
    KJ_IF_MAYBE (it, failed)
    {
        return core::error{core::error_code::invalid, it->getDescription().cStr()};
    }
    return out;
}

} // namespace

std::string encode(const order_batch& it)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::OrderBatch>();
    root.setTermToken(it.term_token);
    auto out = root.initOrders(static_cast<unsigned>(it.orders.size()));
    for (unsigned i = 0; i < out.size(); ++i)
    {
        const auto& from = it.orders[i];
        auto row = out[i];
        row.setNumber(from.number);
        const auto to = ports::read_incarnation(from.to.id);
        row.setRunnerId(to_data(to.runner));
        row.setRunnerBornMs(to.born_ms);
        row.setRunnerAddress(to_data(from.to.address));
        row.setFencingToken(fencing_token_of(from.body));
        std::visit([&](const auto& o) { write_body(row, o); }, from.body);
    }
    return to_bytes(message);
}

std::string encode(const answer_batch& it)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::AnswerBatch>();
    root.setLeaving(it.leaving);
    root.setReadsTermToken(it.reads_term_token);
    auto out = root.initAnswers(static_cast<unsigned>(it.answers.size()));
    for (unsigned i = 0; i < out.size(); ++i)
    {
        const auto& from = it.answers[i];
        auto row = out[i];
        row.setNumber(from.number);
        row.setVerdict(static_cast<std::uint16_t>(runner_answer_of(from).verdict));
        row.setClockMs(runner_answer_of(from).clock_ms);
        row.setBornMs(runner_answer_of(from).born_ms);
        if (const auto* const poll = std::get_if<poll_answer>(&from.body))
        {
            write_rows(row.initPoll(), *poll);
        }
    }
    return to_bytes(message);
}

core::result<order_batch> decode_orders(std::string_view bytes)
{
    return decode<order_batch>(bytes,
        [](capnp::MessageReader& message, order_batch& out)
        {
            const auto root = message.getRoot<schema::OrderBatch>();
            out.term_token = std::max<std::int64_t>(root.getTermToken(), 0);
            for (const auto it : root.getOrders())
            {
                const ports::incarnation to{
                    to_text(it.getRunnerId()), std::max<std::int64_t>(it.getRunnerBornMs(), 0)};
                out.orders.push_back({it.getNumber(),
                    {ports::write_incarnation(to), to_text(it.getRunnerAddress()), {}},
                    read_body(it)});
            }
        });
}

core::result<answer_batch> decode_answers(std::string_view bytes)
{
    return decode<answer_batch>(bytes,
        [](capnp::MessageReader& message, answer_batch& out)
        {
            const auto root = message.getRoot<schema::AnswerBatch>();
            out.leaving = root.getLeaving();
            out.reads_term_token = root.getReadsTermToken();
            for (const auto it : root.getAnswers())
            {
                out.answers.push_back(read_answer(it));
            }
        });
}

std::size_t max_encoded_size(const order& it)
{
    std::size_t n = 2 * fixed_bytes + it.to.id.size() + it.to.address.size();
    if (const auto* const start = std::get_if<ports::start_order>(&it.body))
    {
        n += start->task.size() + start->payload.size() + start->checkpoint.size() +
             start->ticket.size();
    }
    else if (const auto* const stop = std::get_if<ports::stop_order>(&it.body))
    {
        n += stop->task.size();
    }
    else if (const auto* const pace = std::get_if<ports::throttle_order>(&it.body))
    {
        n += pace->task.size();
    }
    return n;
}

std::size_t max_encoded_size(const answer& it)
{
    std::size_t n = fixed_bytes;
    const auto* const poll = std::get_if<poll_answer>(&it.body);
    if (poll == nullptr)
    {
        return n;
    }
    for (const auto& row : poll->running)
    {
        n += fixed_bytes + 2 * word_bytes + row.task.size() + row.checkpoint.size();
    }
    for (const auto& row : poll->ended)
    {
        n += fixed_bytes + 2 * word_bytes + row.task.size() + row.checkpoint.size();
    }
    return n;
}

} // namespace camphorhitch::relay
