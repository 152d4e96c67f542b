#include "records.hpp"

#include <filesystem>
#include <fstream>
#include <map>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::checker;

namespace
{

std::map<std::string, std::string> good_files()
{
    return {
        {"calls.jsonl",
            R"({"id":"r1","entry":"127.0.0.1:1","keyed":true,"status":200,"outcome":"answered",)"
            R"("attempt":"","reason":"","own":true,"begin_ms":1000,"elapsed_ms":12.5})"},
        {"runs.json", R"({"runs":{"r1":[{"host":"h1","at_ms":1005}]}})"},
        {"duplicates.json", R"({"duplicates":{}})"},
        {"targets.json", R"({"targets":[{"host":"h1","runs":1,"cut_off":0,"cut_off_planned":0}]})"},
        {"workers.json",
            R"({"starts":[{"task":"j1/1.1","host":"h1","started_ms":5,"ended_ms":9,"end":"finished"}]})"},
        {"history.json", R"({"changes":[{"key":"a","revision":2,"at_ms":7,"value":"{}"}]})"},
        {"faults.jsonl",
            "{\"fault\":\"kill\",\"member\":\"entry-1\",\"address\":\"127.0.0.1:1\",\"hosts\":[],"
            "\"at_ms\":10,\"until_ms\":20}\n{\"fault\":\"end_of_run\",\"at_ms\":99,\"until_ms\":"
            "99}"},
        {"jobs.jsonl", R"({"id":"j1","pool":"quotes","idempotent":false})"},
        {"entry-1.log",
            "ts=2026-12-02T18:00:00.123Z level=info event=configuration_adopted member=entry-1 "
            "version=3 from=store"}};
}

} // namespace

TEST_GROUP(records)
{
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("records_tests." + std::to_string(getpid()));

    void setup() override
    {
        std::filesystem::create_directories(folder);
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }

    std::variant<checker::records, core::findings> read(
        const std::map<std::string, std::string>& files) const
    {
        for (const auto& [name, text] : files)
        {
            std::ofstream(folder / name) << text;
        }
        return read_records(folder.string());
    }
};

TEST(records, all_files_are_read)
{
    const auto read_all = read(good_files());
    const auto* r = std::get_if<checker::records>(&read_all);
    CHECK(r != nullptr);
    LONGS_EQUAL(1012, r->calls.at(0).end_ms);
    LONGS_EQUAL(1005, r->runs.at("r1").at(0).at_ms);
    LONGS_EQUAL(1, r->faults.size());
    LONGS_EQUAL(99, r->end_ms);
    CHECK(!r->jobs.at(0).idempotent);
    STRCMP_EQUAL("entry-1", r->adoptions.at(0).member.c_str());
    LONGS_EQUAL(3, r->adoptions.at(0).version);
    CHECK(r->adoptions.at(0).at_ms == 1'796'234'400'123);
}

// A run of which a record is missing must fail: without the record there would be no breach to
// find.
TEST(records, missing_record_is_a_finding)
{
    for (const auto& [name, text] : good_files())
    {
        auto files = good_files();
        files[name] = name == "jobs.jsonl" ? "{" : "";
        const auto result = read(files);
        const auto* wrong = std::get_if<core::findings>(&result);
        CHECK_TEXT(wrong != nullptr, name.c_str());
    }
}
