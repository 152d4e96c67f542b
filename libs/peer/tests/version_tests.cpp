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
Enum unknown_enumerator()
{
    return static_cast<Enum>(99);
}

} // namespace

TEST_GROUP(versions){};

// Guards against unsafe interpretations of unknown values. A newer daemon may send an enumerator
// that this version doesn't know. It must be read as the value with the safest effect: nothing was
// granted, a request may have run, a slot may still be in use.
TEST(versions, unknown_enumerators_get_the_safest_value)
{
    CHECK(decoded<schema::PermitReply>(
              [](auto& m) { m.setVerdict(unknown_enumerator<schema::PermitVerdict>()); })
              .verdict == ports::permit_verdict::refused);
    CHECK(decoded<schema::PermitRequest>(
              [](auto& m) { m.setKlass(unknown_enumerator<schema::RequestClass>()); })
              .klass == ports::request_class::long_running);
    CHECK(decoded<schema::PermitReturns>([](auto& m)
              { m.initReturns(1)[0].setOutcome(unknown_enumerator<schema::PermitOutcome>()); })[0]
              .outcome == ports::permit_outcome::unanswered);
    const auto claim = decoded<schema::ClaimReply>(
        [](auto& m)
        {
            m.setVerdict(unknown_enumerator<schema::ClaimVerdict>());
            m.initEntry().setState(unknown_enumerator<schema::ClaimState>());
        });
    CHECK(claim.verdict == ports::claim_verdict::not_ready);
    CHECK(claim.entry.state == ports::claim_state::unknown);
}

// Guards against unsafe defaults. An older daemon doesn't send newer fields, and a message may be
// empty; the default values must have the safest effect too.
TEST(versions, empty_messages_get_safe_defaults)
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
          ports::permit_outcome::unanswered);
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
