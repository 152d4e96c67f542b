#include "language/parse.hpp"
#include "language/table.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::language;
using core::millis;

namespace
{

table hosts()
{
    const cell none;
    return {{{"id", value_kind::text},
                {"zone", value_kind::text},
                {"slots", value_kind::integer},
                {"load", value_kind::number},
                {"age", value_kind::duration},
                {"spare", value_kind::boolean}},
        {
            {"h1", "z1", std::int64_t{8}, 0.5, millis{90000}, false},
            {"h2", "z2", std::int64_t{16}, 2.25, millis{1500}, true},
            {"h3", "z1", std::int64_t{4}, none, millis{7200000}, none},
            {"12", "", none, 1.0, none, false},
        }};
}

show_statement query(const std::string& text)
{
    return std::get<show_statement>(parse("show hosts " + text, "in").statements.at(0).body);
}

/// \return the ids of the selected rows, or the findings.
std::string run_query(const std::string& text)
{
    const auto made = evaluate(query(text), hosts(), "in");
    if (const auto* wrong = std::get_if<core::findings>(&made))
    {
        return core::to_text(*wrong);
    }
    std::string ids;
    for (const auto& it : std::get<table>(made).rows)
    {
        ids += (ids.empty() ? "" : " ") + std::get<std::string>(it[0]);
    }
    return ids;
}

} // namespace

TEST_GROUP(queries){};

TEST(queries, select_order_and_limit)
{
    const struct
    {
        const char* text;
        const char* ids;
    } rows[] = {
        {"", "h1 h2 h3 12"},
        {"where zone = z1", "h1 h3"},
        {"where zone = z1 and slots < 8", "h3"},
        {"where zone != z1", "h2 12"},
        {"where zone = \"\"", "12"},
        {"where zone != \"\"", "h1 h2 h3"},
        {"where id = 12", "12"},
        {"where id ~ h and slots > 4", "h1 h2"},
        {"where id >= h2", "h2 h3"},
        {"where slots <= 8.5", "h1 h3"},
        {"where slots != 8", "h2 h3 12"},
        {"where slots = \"\"", "12"},
        {"where load > 0.5", "h2 12"},
        {"where load >= 0.5 and load <= 1", "h1 12"},
        {"where age < 2m", "h1 h2"},
        {"where age = 2h", "h3"},
        {"where spare = true", "h2"},
        {"where spare != true", "h1 h3 12"},
        {"order by slots", "h3 h1 h2 12"},
        {"order by slots desc", "h2 h1 h3 12"},
        {"order by zone", "12 h1 h3 h2"},
        {"order by age desc limit 2", "h3 h1"},
        {"order by spare", "h1 12 h2 h3"},
        {"limit 0", ""},
        {"limit 9", "h1 h2 h3 12"},
    };
    for (const auto& it : rows)
    {
        STRCMP_EQUAL_TEXT(it.ids, run_query(it.text).c_str(), it.text);
    }
}

TEST(queries, all_findings_are_reported_together)
{
    STRCMP_EQUAL("in:1:18: no field 'zne' here (did you mean 'zone'?)\n"
                 "in:1:45: 'slots' is a whole number, not 'many'\n"
                 "in:1:67: 'age' is a duration such as 250ms, 30s, 5m, 2h or 1d, not '5'\n"
                 "in:1:81: true and false have no order\n"
                 "in:1:98: '~' is for texts only\n"
                 "in:1:109: no field 'ag' here (did you mean 'age'?)\n",
        run_query("where zne = z1 and slots  =      many and age =        5 and spare < true and "
                  "slots ~ 1 order by ag")
            .c_str());
}

TEST(queries, select_rows_returns_row_indices)
{
    const auto rows = select_rows(hosts(), query("where zone = z1").where, "in");
    CHECK((std::get<std::vector<std::size_t>>(rows) == std::vector<std::size_t>{0, 2}));
    CHECK(std::holds_alternative<core::findings>(
        select_rows(hosts(), query("where zoone = z1").where, "in")));
}

TEST_GROUP(output){};

TEST(output, is_aligned_for_people)
{
    auto t = hosts();
    t.rows[1][0] = "Skólaferðastofa";
    t.rows[2][1] = "z\x1b[2J\n";
    STRCMP_EQUAL("id               zone    slots  load     age  spare\n"
                 "h1               z1          8   0.5     90s  false\n"
                 "Skólaferðastofa  z2         16  2.25  1500ms  true\n"
                 "h3               z?[2J?      4     -      2h  -\n"
                 "12                           -     1       -  false\n",
        to_text(t).c_str());
}

TEST(output, is_json_with_keys_in_the_columns_order)
{
    auto t = hosts();
    t.rows.erase(t.rows.begin() + 1, t.rows.begin() + 3);
    t.rows[0][1] = "\xff\"";
    STRCMP_EQUAL("[{\"id\":\"h1\",\"zone\":\"\xef\xbf\xbd\\\"\",\"slots\":8,\"load\":0.5,"
                 "\"age\":90000,\"spare\":false},"
                 "{\"id\":\"12\",\"zone\":\"\",\"slots\":null,\"load\":1.0,\"age\":null,"
                 "\"spare\":false}]",
        to_json(t).c_str());
}

TEST(output, names_the_columns_of_an_empty_table)
{
    const table t{hosts().columns, {}};
    STRCMP_EQUAL("id  zone  slots  load  age  spare\n", to_text(t).c_str());
    STRCMP_EQUAL("[]", to_json(t).c_str());
}
