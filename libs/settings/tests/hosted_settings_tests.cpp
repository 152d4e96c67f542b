#include "settings/hosted_settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;

namespace
{

const std::string valid_settings = R"({"member":"n1","zone":"z","listen":{"callers":"10.0.0.1:1",
"health":"10.0.0.1:2"},"services":{"store":"10.0.0.2:1","machines":"10.0.0.3:1"}})";

std::string with(const std::string& from, const std::string& to)
{
    auto text = valid_settings;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_GROUP(hosted_settings){};

TEST(hosted_settings, given_values_and_defaults)
{
    const auto read = settings::read_hosted_settings(valid_settings, "f");
    const auto& s = std::get<settings::hosted_settings>(read);
    STRCMP_EQUAL("n1", s.member.c_str());
    CHECK(s.listen.metrics.empty());
    CHECK(s.listen.relay.empty());
    LONGS_EQUAL(2500, s.timing.runner_lease.count());
    DOUBLES_EQUAL(1, s.processor_share, 0.001);
}

TEST(hosted_settings, each_mechanism_can_be_switched_off)
{
    const auto read = settings::read_hosted_settings(with(R"("zone":"z")",
                                                         R"("zone":"z","policy":{"moves":false,
"hands_over":false,"repeats_calls":false,"watches_store":false,"paces":false})"),
        "f");
    const auto& p = std::get<settings::hosted_settings>(read).policy;
    CHECK(!p.moves && !p.hands_over && !p.repeats_calls && !p.watches_store && !p.paces);
    const auto defaults = settings::hosted_policy{};
    CHECK(defaults.repeats_calls && defaults.watches_store && defaults.paces);
}

// Guards against a policy that acts at deployments whose conditions do not ask for it.
TEST(hosted_settings, a_condition_in_force_replaces_the_policy)
{
    struct row
    {
        const char* conditions;
        settings::allocation_policy expected;
        int spare_hosts;
    };
    for (const auto& it : {row{"[]", settings::allocation_policy::in_order, 3},
             row{R"(["other"])", settings::allocation_policy::in_order, 3},
             row{R"(["contention"])", settings::allocation_policy::max_min, 1},
             row{R"(["last","contention"])", settings::allocation_policy::max_min, 1},
             row{R"(["last"])", settings::allocation_policy::marginal, 1}})
    {
        const auto read = settings::read_hosted_settings(
            with(R"("zone":"z")",
                R"("zone":"z","policy":{"spare_hosts":3},"conditions":)" +
                    std::string(it.conditions) +
                    R"(,"conditional_policies":[
{"where":"contention","policy":{"allocation":"max_min"}},
{"where":"last","policy":{"allocation":"marginal"}}])"),
            "f");
        const auto* const s = std::get_if<settings::hosted_settings>(&read);
        CHECK_TEXT(s != nullptr, it.conditions);
        CHECK_TEXT(settings::effective_policy(*s).allocation == it.expected, it.conditions);
        LONGS_EQUAL_TEXT(it.spare_hosts, settings::effective_policy(*s).spare_hosts, it.conditions);
    }
}

TEST(hosted_settings, all_errors_are_reported_with_their_positions)
{
    struct row
    {
        std::string text;
        const char* finding;
    };
    const row rows[] = {
        {"{", "f:1:"},
        {with("10.0.0.1:1", "store"), "/listen/callers"},
        {with(R"("zone":"z",)", ""), "zone"},
        {with(R"("zone":"z")", R"("zone":"z","colour":1)"), "colour"},
        {with(R"("zone":"z")", R"("zone":"z","timing":{"leader_lease_ms":3000})"),
            "/timing/leader_lease_ms"},
        {with(R"("zone":"z")", R"("zone":"z","timing":{"runner_lease_ms":7000})"),
            "/timing/runner_lease_ms"},
        {with(R"("zone":"z")", R"("zone":"z","log_level":"loud")"), "/log_level"},
        {with(R"("zone":"z")", R"("zone":"z","policy":{"rejects_hopeless":true})"),
            "/policy/rejects_hopeless"},
        {with(R"("zone":"z")",
             R"("zone":"z","conditional_policies":[{"where":"a","policy":{"rejects_hopeless":true}}])"),
            "/conditional_policies/0/policy/rejects_hopeless"},
        {with(R"("health")", R"("operators":"10.0.0.1:4","health")"), "/operators_token"},
        {with(R"("health")", R"("relay":"here","health")"), "/listen/relay"},
    };
    for (const auto& it : rows)
    {
        const auto read = settings::read_hosted_settings(it.text, "f");
        const auto* const found = std::get_if<core::findings>(&read);
        CHECK_TEXT(found != nullptr, it.finding);
        STRCMP_CONTAINS(it.finding, core::to_text(*found).c_str());
    }
    const auto both = settings::read_hosted_settings(
        with(R"("zone":"z")", R"("zone":7,"log_level":"loud")"), "f");
    LONGS_EQUAL(2, std::get<core::findings>(both).size());
}
