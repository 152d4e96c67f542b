#include "codec.hpp"

#include <capnp/message.h>
#include <limits>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::peer;

namespace
{

template <class Wire, class Fill>
auto decoded(Fill fill)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<Wire>();
    fill(root);
    return decode(root.asReader());
}

template <class Enum>
Enum from_the_future()
{
    return static_cast<Enum>(99);
}

} // namespace

TEST_GROUP(versions){};

// A newer daemon may send an enumerator that this one doesn't know. It must be read as what can do
// no harm: nothing was granted, it may have run, a slot may still be in use.
TEST(versions, unknown_enumerators_are_read_with_care)
{
    CHECK(decoded<schema::PermitReply>(
              [](auto& m) { m.setVerdict(from_the_future<schema::PermitVerdict>()); })
              .verdict == ports::permit_verdict::refused);
    CHECK(decoded<schema::PermitRequest>(
              [](auto& m) { m.setKlass(from_the_future<schema::RequestClass>()); })
              .klass == ports::request_class::long_running);
    CHECK(decoded<schema::PermitReturns>([](auto& m)
              { m.initReturns(1)[0].setOutcome(from_the_future<schema::PermitOutcome>()); })[0]
              .outcome == ports::permit_outcome::silent);
    const auto claim = decoded<schema::ClaimReply>(
        [](auto& m)
        {
            m.setVerdict(from_the_future<schema::ClaimVerdict>());
            m.initEntry().setState(from_the_future<schema::ClaimState>());
        });
    CHECK(claim.verdict == ports::claim_verdict::not_ready);
    CHECK(claim.entry.state == ports::claim_state::unknown);
}

// An older daemon sends nothing for a newer field, and a message may come empty: the defaults must
// do no harm either.
TEST(versions, empty_messages_are_read_with_care)
{
    const auto nothing = [](auto&) {
    };
    CHECK(decoded<schema::PermitReply>(nothing).verdict == ports::permit_verdict::refused);
    CHECK(decoded<schema::ClaimReply>(nothing).verdict == ports::claim_verdict::not_ready);
    CHECK(decoded<schema::ClaimReply>(nothing).entry.state == ports::claim_state::unknown);
    CHECK(!decoded<schema::Heartbeat>(nothing).fresh);
    CHECK(!decoded<schema::SlotPullReply>(nothing).adopted);
    CHECK(!decoded<schema::Ack>(nothing).accepted);
    CHECK(decoded<schema::PermitReturns>([](auto& m) { m.initReturns(1); })[0].outcome ==
          ports::permit_outcome::silent);
}

TEST(versions, times_stay_in_a_range_that_can_be_added)
{
    const struct
    {
        std::int64_t sent;
        std::int64_t read;
    } rows[] = {
        {-1, 0},
        {std::numeric_limits<std::int64_t>::min(), 0},
        {7, 7},
        {std::numeric_limits<std::int64_t>::max(), std::int64_t{30} * 24 * 3600 * 1000},
    };
    for (const auto& it : rows)
    {
        const auto ask = decoded<schema::PermitRequest>([&](auto& m) { m.setTimeLeftMs(it.sent); });
        CHECK(ask.time_left == core::millis{it.read});
    }
}
