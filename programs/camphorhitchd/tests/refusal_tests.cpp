#include "refusal.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

namespace
{

std::string field(const ports::http_response& r, const char* name)
{
    const auto* found = ports::find_field(r.fields, name);
    return found == nullptr ? std::string{} : *found;
}

} // namespace

TEST_GROUP(refusal){};

// The first call with a key has run, but ended with outcome unknown. The caller repeats the call
// through an entry host that is stopping. With the answer "not-run" the caller would conclude that
// the first call has not run either.
TEST(refusal, a_request_with_a_key_is_answered_with_outcome_unknown)
{
    const auto out = make_response({503, "stopping", "takes no requests", 1, true});
    LONGS_EQUAL(503, out.status);
    STRCMP_EQUAL("unknown", field(out, "Camphorhitch-Outcome").c_str());
    STRCMP_EQUAL("not-sent", field(out, "Camphorhitch-Attempt").c_str());
    STRCMP_EQUAL("stopping", field(out, "Camphorhitch-Reason").c_str());
    STRCMP_EQUAL("1", field(out, "Retry-After").c_str());
}

TEST(refusal, a_request_without_a_key_is_answered_not_run)
{
    const auto out = make_response({404, "no_such_service", "no pool serves x", 0, false});
    STRCMP_EQUAL("not-run", field(out, "Camphorhitch-Outcome").c_str());
    STRCMP_EQUAL("", field(out, "Camphorhitch-Attempt").c_str());
    STRCMP_EQUAL("", field(out, "Retry-After").c_str());
}

TEST(refusal, the_key_header_is_case_insensitive)
{
    ports::http_request r;
    r.fields = {{"idempotency-key", "k1"}};
    STRCMP_EQUAL("k1", idempotency_key_of(r).c_str());
    STRCMP_EQUAL("", idempotency_key_of({}).c_str());
}
