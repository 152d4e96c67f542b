#include "any_document.hpp"
#include "model/codec.hpp"

#include <rapidcheck.h>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::model;

namespace
{

template <class T>
std::string findings_of(const decoded<T>& d)
{
    const auto* found = std::get_if<core::findings>(&d);
    return found == nullptr ? std::string{} : core::to_text(*found);
}

/// \return \p text with a random part removed, overwritten or repeated.
std::string damaged(std::string text)
{
    const auto n = static_cast<std::int64_t>(text.size());
    const auto begin = static_cast<std::size_t>(any_int(0, n - 1));
    const auto count = static_cast<std::size_t>(any_int(1, 12));
    const auto with = *rc::gen::element<std::string>("", "-1", "\"", "{", "]", "null", "\xff", ",");
    if (any_count(1) == 0)
    {
        return text.replace(begin, count, with);
    }
    return text.insert(begin, text.substr(static_cast<std::size_t>(any_int(0, n - 1)), count));
}

/// Asserts that a decoder either accepts a text, and the document can be encoded again, or reports
/// findings.
template <class T>
void accepts_or_reports(const decoded<T>& d)
{
    if (const auto* found = std::get_if<core::findings>(&d))
    {
        RC_ASSERT(!found->empty());
        return;
    }
    RC_ASSERT(!encode(std::get<T>(d)).empty());
}

void each_decoder_accepts_or_reports(const std::string& text)
{
    constexpr auto mode = strictness::lenient;
    accepts_or_reports(decode_configuration(text, "d", mode));
    accepts_or_reports(decode_pool(text, "d", mode));
    accepts_or_reports(decode_wave(text, "d", mode));
    accepts_or_reports(decode_roster(text, "d"));
    accepts_or_reports(decode_member(text, "d"));
}

} // namespace

TEST_GROUP(damage){};

TEST(damage, damaged_documents_are_accepted_or_give_findings)
{
    CHECK(rc::check("damage",
        []
        {
            each_decoder_accepts_or_reports(damaged(encode(any_configuration())));
            each_decoder_accepts_or_reports(damaged(encode(any_pool())));
            each_decoder_accepts_or_reports(damaged(encode(any_wave())));
            each_decoder_accepts_or_reports(damaged(encode(any_roster())));
            each_decoder_accepts_or_reports(damaged(encode(any_member(0))));
            each_decoder_accepts_or_reports(*rc::gen::arbitrary<std::string>());
        }));
}

TEST(damage, older_and_newer_forms_are_read_and_wrong_values_are_reported)
{
    struct row
    {
        const char* text;
        strictness mode;
        const char* findings;
    };
    const row rows[] = {
        {R"({"pool":"p"})", strictness::lenient, ""},
        {R"({"pool":"p","hosts":[{"id":"h"}],"newer":1})", strictness::lenient, ""},
        {R"({"pool":"p","newer":1})", strictness::strict, "d:1:13 /newer: unknown key\n"},
        {R"({"hosts":[]})", strictness::lenient, "d:1:1: lacks the key 'pool'\n"},
        {R"({"pool":"p","hosts":[{"id":"h"},{"id":"h"}]})",
            strictness::lenient,
            "d:1:33 /hosts/1: id 'h' stands twice in the list\n"},
        {R"({"pool":"p","hosts":[{"id":"h","state":"asleep"}]})",
            strictness::lenient,
            "d:1:40 /hosts/0/state: 'asleep' is none of: serving, draining, drained, rebooting, "
            "failed, held\n"},
    };
    for (const auto& it : rows)
    {
        STRCMP_EQUAL(it.findings, findings_of(decode_pool(it.text, "d", it.mode)).c_str());
    }
}

TEST_GROUP(check_of_configuration){};

TEST(check_of_configuration, each_contradiction_is_reported)
{
    struct row
    {
        void (*change)(configuration&);
        const char* findings;
    };
    const row rows[] = {
        {[](configuration&) {}, ""},
        {[](configuration& c) { c.pools[0].policy = "fas"; },
            "c /pools/0/policy: no policy is named 'fas' (did you mean 'fast'?)\n"},
        {[](configuration& c) {
             c.pools[0].budget = {0, 0};
         },
            "c /pools/0/budget/absent: must be at least 1, or no host can ever be maintained\n"
            "c /pools/0/budget/absent_per_zone: must be at least 1, or no host can ever be "
            "maintained\n"},
        {[](configuration& c) {
             c.pools[1].budget = {2, 3};
         },
            "c /pools/1/budget/absent_per_zone: is 3, above 'absent' of 2\n"},
        {[](configuration& c) { c.pools[1].services.push_back("quotes"); },
            "c /pools/1/services/1: service 'quotes' belongs to pool 'a' already\n"},
        {[](configuration& c) { c.pools[1].spare = true; },
            "c /pools/1/services: a pool of spare hosts serves no service\n"},
        {[](configuration& c) { c.pools[0].normal.longest = core::millis{4999}; },
            "c /pools/0/normal/deadline_ms: is 5000 ms, above 'longest_ms' of 4999 ms\n"},
        {[](configuration& c) { c.pools[0].quick.reserved_slots = 2; },
            "c /pools/0: a quicker class must leave no more reserved_slots than a slower one\n"},
    };
    for (const auto& it : rows)
    {
        configuration c;
        c.policies = {{"fast", policy_kind::fastest}};
        c.pools.resize(2);
        c.pools[0].name = "a";
        c.pools[0].services = {"quotes"};
        c.pools[0].policy = "fast";
        c.pools[1] = c.pools[0];
        c.pools[1].name = "b";
        c.pools[1].services = {"holds"};
        it.change(c);
        STRCMP_EQUAL(it.findings, core::to_text(check(c, "c")).c_str());
    }
}
