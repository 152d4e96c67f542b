#include "daemon_fakes/key_value.hpp"
#include "daemon_fakes/recorders.hpp"
#include "updater.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

namespace
{

const std::string key = "/d/list";

/// Appends \p suffix once; a repeat finds the suffix and changes nothing.
change_function append(const std::string& suffix)
{
    return [suffix](const std::string* current) -> change_result
    {
        const auto text = current == nullptr ? std::string{} : *current;
        if (text.find(suffix) != std::string::npos)
        {
            return std::optional<std::string>{};
        }
        return std::optional<std::string>{text + suffix};
    };
}

struct update_result
{
    bool reported = false;
    bool ok = false;
    core::error_code code = core::error_code::invalid;
};

} // namespace

TEST_GROUP(updater)
{
    daemon_fakes::virtual_time time;
    daemon_fakes::key_value store{time};
    daemon_fakes::process process;
    daemon_fakes::log_recorder log;
    ports::key_value port{store.port(process)};
    ports::scheduler scheduler{time.port(process)};
    ports::telemetry telemetry{log.port(time)};
    mirror documents{{"/d/"},
        port,
        scheduler,
        telemetry,
        {[](const auto&) {},
            [](auto) {
            }}};

    void setup() override
    {
        store.put(key, "a");
        documents.start();
        time.run_for(core::millis{1000});
    }
    std::shared_ptr<update_result> start(const std::string& suffix)
    {
        auto end = std::make_shared<update_result>();
        update_document({documents, port, scheduler},
            key,
            append(suffix),
            [end](const core::result<core::done>& it)
            {
                end->reported = true;
                end->ok = core::is_ok(it);
                end->code = core::is_ok(it) ? end->code : core::failure(it).code;
            });
        return end;
    }
    update_result finish(const std::shared_ptr<update_result>& end)
    {
        time.run_until([&] { return end->reported; }, core::millis{60000});
        CHECK(end->reported);
        return *end;
    }
};

// Another process writes between the updater's read and its write. The updater must neither
// overwrite that change nor lose its own.
TEST(updater, a_conflicting_write_is_kept_and_the_change_is_applied_on_top)
{
    const auto end = start("b");
    store.put(key, "ax");
    CHECK(finish(end).ok);
    STRCMP_EQUAL("axb", store.find(key)->value.c_str());
}

// A write takes effect but its answer is lost, and another process may write before the updater
// reads the document again. The read must show that the change is applied, whether the document
// holds exactly the written text or a later change on top of it.
TEST(updater, a_lost_answer_is_resolved_by_reading)
{
    for (const bool overwritten : {false, true})
    {
        store.put(key, "a");
        time.run_for(core::millis{100});
        store.answers_to_lose = 1;
        const auto end = start("b");
        time.run_for(core::millis{1}); // the write has taken effect, and its answer is in flight
        STRCMP_EQUAL("ab", store.find(key)->value.c_str());
        if (overwritten)
        {
            store.put(key, "abx");
        }
        const auto writes = store.writes;
        CHECK(finish(end).ok);
        LONGS_EQUAL(writes, store.writes);
        STRCMP_EQUAL(overwritten ? "abx" : "ab", store.find(key)->value.c_str());
    }
}

// A command is repeated after its first run took effect. The repeat must succeed without a second
// write.
TEST(updater, a_repeated_command_takes_effect_once)
{
    CHECK(finish(start("b")).ok);
    const auto writes = store.writes;
    CHECK(finish(start("b")).ok);
    LONGS_EQUAL(writes, store.writes);
    STRCMP_EQUAL("ab", store.find(key)->value.c_str());
}

// The key-value service becomes unavailable. Before the write nothing can have happened, and the
// error must say so; after a write without an answer only unknown_effect is true.
TEST(updater, errors_without_the_store_claim_only_certain_effects)
{
    struct row
    {
        int answers_to_lose;
        core::error_code code;
    };
    const row rows[] = {
        {0, core::error_code::unavailable},
        {1, core::error_code::unknown_effect},
    };
    for (const auto& it : rows)
    {
        store.set_down(false);
        store.answers_to_lose = it.answers_to_lose;
        process.store_cut = it.answers_to_lose == 0;
        const auto end = start("b" + std::to_string(it.answers_to_lose));
        time.run_for(core::millis{1});
        store.set_down(true);
        const auto result = finish(end);
        CHECK_FALSE(result.ok);
        LONGS_EQUAL(static_cast<int>(it.code), static_cast<int>(result.code));
    }
}
