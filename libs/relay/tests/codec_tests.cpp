#include "codec.hpp"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::relay;

namespace
{

const std::string binary("a\0b\xff", 4);

order_batch all_orders()
{
    order_batch out;
    out.orders.push_back({1,
        {"i-1/1764800000123", "10.0.0.1:80", {}},
        ports::start_order{"j.0.1.2", 7, binary, 486000, 99, "saved", "ticket"}});
    out.orders.push_back({2, {"i-2", "10.0.0.2:80", {}}, ports::stop_order{"j.0.1.3", 8, 99}});
    out.orders.push_back(
        {3, {"i-3", "10.0.0.3:80", {}}, ports::throttle_order{"j.0.1.4", 9, 40, 99}});
    out.orders.push_back(
        {4, {"i-4", "10.0.0.4:80", {}}, ports::poll_order{486000, 99, 57, core::millis{1000}}});
    return out;
}

answer_batch all_answers()
{
    answer_batch out;
    out.leaving = true;
    out.answers.push_back({1, ports::runner_answer{ports::runner_verdict::no_room, 482113}});
    ports::poll_answer poll;
    poll.call = {ports::runner_verdict::done, 482114, 1764800000123};
    poll.running.push_back({"j.0.1.2", 7, binary, 41, -3});
    poll.ended.push_back({58, "j.0.1.9", 2, ports::run_end::members_absent, "saved"});
    out.answers.push_back({4, poll});
    return out;
}

} // namespace

TEST_GROUP(relay_codec){};

TEST(relay_codec, orders_are_decoded_unchanged)
{
    const auto read = decode_orders(encode(all_orders()));
    CHECK(core::is_ok(read));
    const auto& got = core::value(read).orders;
    CHECK_EQUAL(4U, got.size());
    STRCMP_EQUAL("i-1/1764800000123", got[0].to.id.c_str());
    STRCMP_EQUAL("10.0.0.1:80", got[0].to.address.c_str());
    const auto& start = std::get<ports::start_order>(got[0].body);
    STRCMP_EQUAL("j.0.1.2", start.task.c_str());
    CHECK_EQUAL(7, start.run);
    CHECK(start.payload == binary);
    CHECK_EQUAL(486000, start.lease_until_ms);
    CHECK_EQUAL(99, start.fencing_token);
    STRCMP_EQUAL("saved", start.checkpoint.c_str());
    STRCMP_EQUAL("ticket", start.ticket.c_str());
    CHECK_EQUAL(8, std::get<ports::stop_order>(got[1].body).run);
    CHECK_EQUAL(99, std::get<ports::stop_order>(got[1].body).fencing_token);
    CHECK_EQUAL(40, std::get<ports::throttle_order>(got[2].body).cpu_percent);
    const auto& poll = std::get<ports::poll_order>(got[3].body);
    CHECK_EQUAL(57, poll.acknowledged_through);
    CHECK_EQUAL(486000, poll.lease_until_ms);
    CHECK_EQUAL(1000, poll.wait.count());
    CHECK_EQUAL(4U, got[3].number);
}

TEST(relay_codec, answers_are_decoded_unchanged)
{
    const auto read = decode_answers(encode(all_answers()));
    CHECK(core::is_ok(read));
    const auto& got = core::value(read);
    CHECK(got.leaving);
    CHECK(runner_answer_of(got.answers[0]).verdict == ports::runner_verdict::no_room);
    CHECK_EQUAL(482113, runner_answer_of(got.answers[0]).clock_ms);
    const auto& poll = std::get<ports::poll_answer>(got.answers[1].body);
    CHECK(poll.call.verdict == ports::runner_verdict::done);
    CHECK_EQUAL(482114, poll.call.clock_ms);
    CHECK_EQUAL(1764800000123, poll.call.born_ms);
    CHECK(poll.running[0].checkpoint == binary);
    CHECK_EQUAL(41, poll.running[0].progress_percent);
    CHECK_EQUAL(-3, poll.running[0].load_metric);
    CHECK(poll.ended[0].outcome == ports::run_end::members_absent);
    CHECK_EQUAL(58, poll.ended[0].number);
    CHECK_FALSE(poll.ends_truncated);
}

// Guards against losing the mark of a truncated list of ends: if the list counted as complete, a
// run whose end is left out would seem to be missing, and its task would be started again.
TEST(relay_codec, a_truncated_answer_stays_marked_as_truncated)
{
    for (const bool left_out : {false, true})
    {
        ports::poll_answer poll;
        poll.call = {ports::runner_verdict::done, 1};
        poll.ends_truncated = left_out;
        answer_batch batch;
        batch.answers.push_back({1, poll});
        const auto got = core::value(decode_answers(encode(batch)));
        CHECK(std::get<ports::poll_answer>(got.answers[0].body).ends_truncated == left_out);
    }
}

TEST(relay_codec, every_verdict_and_every_end_is_encoded)
{
    for (const auto& it : ports::runner_verdict_names)
    {
        answer_batch out;
        out.answers.push_back({1, ports::runner_answer{it.value, 1}});
        CHECK(runner_answer_of(core::value(decode_answers(encode(out))).answers[0]).verdict ==
              it.value);
    }
    for (const auto& it : ports::run_end_names)
    {
        ports::poll_answer poll;
        poll.ended.push_back({1, "t", 1, it.value, ""});
        answer_batch out;
        out.answers.push_back({1, poll});
        const auto read = decode_answers(encode(out));
        const auto& got = std::get<ports::poll_answer>(core::value(read).answers[0].body);
        CHECK(got.ended[0].outcome == it.value);
    }
}

TEST(relay_codec, size_bounds_hold)
{
    for (const auto& it : all_orders().orders)
    {
        CHECK(encode(order_batch{{it}}).size() <= max_encoded_size(it) + 64);
    }
    for (const auto& it : all_answers().answers)
    {
        CHECK(encode(answer_batch{{it}, false}).size() <= max_encoded_size(it) + 64);
    }
}

// Guards against a damaged message that is read as fewer orders or as another verdict. A truncated
// frame, or a frame with a value that this version does not know, is an error of its connection.
TEST(relay_codec, damaged_bytes_are_refused)
{
    const auto whole = encode(all_orders());
    CHECK(!core::is_ok(decode_orders({})));
    CHECK(!core::is_ok(decode_orders("xyz")));
    CHECK(!core::is_ok(decode_orders(std::string(64, '\xff'))));
    for (std::size_t n = 0; n < whole.size(); ++n)
    {
        CHECK(!core::is_ok(decode_orders(std::string_view(whole).substr(0, n))));
    }
    auto odd = all_answers();
    odd.answers[0].body = ports::runner_answer{static_cast<ports::runner_verdict>(200), 1};
    CHECK(!core::is_ok(decode_answers(encode(odd))));
}

// Guards against out-of-bounds reads. A faulty sender may send any bytes; decoding must return a
// batch or an error without reading beyond the bytes, which the sanitizers check.
TEST(relay_codec, bytes_changed_at_random_are_a_batch_or_an_error)
{
    constexpr int rounds = 4000;
    std::mt19937_64 random(20);
    const std::string good[] = {encode(all_orders()), encode(all_answers())};
    for (int i = 0; i < rounds; ++i)
    {
        for (auto bytes : good)
        {
            for (auto n = 1 + random() % 4; n > 0; --n)
            {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            const auto orders = decode_orders(bytes);
            const auto answers = decode_answers(bytes);
            CHECK(core::is_ok(orders) || !core::failure(orders).message.empty());
            CHECK(core::is_ok(answers) || !core::failure(answers).message.empty());
        }
    }
}
