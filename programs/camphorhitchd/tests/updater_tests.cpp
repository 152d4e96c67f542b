#include "daemon_fakes/key_value.hpp"
#include "daemon_fakes/recorders.hpp"
#include "updater.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::daemon;

namespace
{

const std::string key = "/d/list";

/// Appends \p word once: a repeat finds it there.
change_function append(const std::string& word)
{
    return [word](const std::string* current) -> change_result
    {
        const auto text = current == nullptr ? std::string{} : *current;
        if (text.find(word) != std::string::npos)
        {
            return std::optional<std::string>{};
        }
        return std::optional<std::string>{text + word};
    };
}

struct ending
{
    bool told = false;
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
    std::shared_ptr<ending> start(const std::string& word)
    {
        auto end = std::make_shared<ending>();
        update_document({documents, port, scheduler},
            key,
            append(word),
            [end](const core::result<core::done>& it)
            {
                end->told = true;
                end->ok = core::is_ok(it);
                end->code = core::is_ok(it) ? end->code : core::failure(it).code;
            });
        return end;
    }
    ending finish(const std::shared_ptr<ending>& end)
    {
        time.run_until([&] { return end->told; }, core::millis{60000});
        CHECK(end->told);
        return *end;
    }
};

// Somebody else writes between our look at the document and our write. Ours must not undo theirs,
// and must not be given up either.
TEST(updater, a_conflicting_write_is_kept_and_ours_comes_after_it)
{
    const auto end = start("b");
    store.put(key, "ax");
    CHECK(finish(end).ok);
    STRCMP_EQUAL("axb", store.find(key)->value.c_str());
}

// The write takes effect and its answer is lost; somebody may write again before we look. Reading
// tells that our change stands, whether our very text is there or another's on top of it.
TEST(updater, a_lost_answer_is_resolved_by_reading)
{
    for (const bool written_over : {false, true})
    {
        store.put(key, "a");
        time.run_for(core::millis{100});
        store.answers_to_lose = 1;
        const auto end = start("b");
        time.run_for(core::millis{1}); // the write has had its effect, its answer is on its way
        STRCMP_EQUAL("ab", store.find(key)->value.c_str());
        if (written_over)
        {
            store.put(key, "abx");
        }
        const auto writes = store.writes;
        CHECK(finish(end).ok);
        LONGS_EQUAL(writes, store.writes);
        STRCMP_EQUAL(written_over ? "abx" : "ab", store.find(key)->value.c_str());
    }
}

// The same command again, after its first run had its effect: the caller hears success, and the
// document is not written a second time.
TEST(updater, a_repeat_has_one_effect)
{
    CHECK(finish(start("b")).ok);
    const auto writes = store.writes;
    CHECK(finish(start("b")).ok);
    LONGS_EQUAL(writes, store.writes);
    STRCMP_EQUAL("ab", store.find(key)->value.c_str());
}

// The service goes away. Before the write nothing can have happened, and the caller is told so;
// after a write without an answer only "unknown" is true.
TEST(updater, without_the_service_no_more_is_claimed_than_is_known)
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
        const auto how = finish(end);
        CHECK_FALSE(how.ok);
        LONGS_EQUAL(static_cast<int>(it.code), static_cast<int>(how.code));
    }
}
