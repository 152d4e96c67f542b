#include "language/parse.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::language;

namespace
{

std::string printed(const parse_result& p)
{
    std::string text;
    for (const auto& it : p.statements)
    {
        text += std::to_string(it.at.line) + ':' + std::to_string(it.at.column) + ' ' +
                to_text(it.body) + '\n';
    }
    return text + core::to_text(p.findings);
}

} // namespace

TEST_GROUP(statements){};

TEST(statements, are_printed_in_their_canonical_form)
{
    const struct
    {
        const char* text;
        const char* canonical;
    } rows[] = {
        {"show hosts", "show hosts"},
        {"show\thosts where zone=z1 and slots>=8 and id~\"a b\" order by id desc limit 10 # x",
            "show hosts where zone = z1 and slots >= 8 and id ~ \"a b\" order by id desc limit 10"},
        {"show jobs where a != \"\" and b<1.5 and c<=2h and d>-1 order by e asc",
            "show jobs where a != \"\" and b < 1.5 and c <= 2h and d > -1 order by e"},
        {"show config", "show config"},
        {"why host \"h17\"", "why host h17"},
        {"why request e1/1-7", "why request e1/1-7"},
        {"why pool Skólaferðastofa", "why pool Skólaferðastofa"},
        {"why job \"a\\\\b\\\"c\\nd;#\"", "why job \"a\\\\b\\\"c\\nd;#\""},
        {"set pool quotes budget.absent=2,policy = careful",
            "set pool quotes budget.absent = 2, policy = careful"},
        {"set policy careful largest_batch = 4", "set policy careful largest_batch = 4"},
        {"set team prints processors = 10", "set team prints processors = 10"},
        {"set config key_memory = 15m", "set config key_memory = 15m"},
        {"set pool config spare = true", "set pool config spare = true"},
        {"drain host h17", "drain host h17"},
        {"drain host h17 for leaving", "drain host h17 for leaving"},
        {"drain zone z1 wave spring policy careful", "drain zone z1 wave spring policy careful"},
        {"drain rack r1 policy careful", "drain rack r1 policy careful"},
        {"drain pool for wave for", "drain pool for wave for"},
        {"move host h17 to pool holds", "move host h17 to pool holds"},
        {"start wave spring", "start wave spring"},
        {"start wave s where rack = r4 and pool != x policy p",
            "start wave s where rack = r4 and pool != x policy p"},
        {"start experiment e arms a=careful , b = fast on pool quotes , holds for 48h seed 7",
            "start experiment e arms a=careful,b=fast on pool quotes,holds for 2d seed 7"},
        {"start experiment e arms a=b,c=d on pool p", "start experiment e arms a=b,c=d on pool p"},
        {"stop experiment e1", "stop experiment e1"},
        {"cancel wave spring", "cancel wave spring"},
        {"resume wave spring", "resume wave spring"},
        {"cancel job j5", "cancel job j5"},
        {"cancel jobs where team = prints", "cancel jobs where team = prints"},
        {"submit job { \"a\": {\"b\": \"}\\\"\"} }", "submit job { \"a\": {\"b\": \"}\\\"\"} }"},
    };
    for (const auto& it : rows)
    {
        const auto first = parse(it.text, "in");
        STRCMP_EQUAL((std::string("1:1 ") + it.canonical + "\n").c_str(), printed(first).c_str());
        CHECK(first.statements[0].body == parse(it.canonical, "in").statements.at(0).body);
    }
}

TEST(statements, are_separated_by_semicolons_and_lines)
{
    const auto read = parse("# a script\n\n show hosts;; why host h1 # why\r\n"
                            "submit job {\"a\":\n \"b;c\"}; show jobs;\n",
        "in");
    STRCMP_EQUAL("3:2 show hosts\n3:15 why host h1\n4:1 submit job {\"a\":\n \"b;c\"}\n"
                 "5:10 show jobs\n",
        printed(read).c_str());
}

TEST(statements, queries_are_distinguished_from_commands)
{
    const auto all = parse("show hosts; why host h; set pool p spare = true; cancel job j", "in");
    const bool expected[] = {true, true, false, false};
    for (std::size_t i = 0; i < all.statements.size(); ++i)
    {
        CHECK_EQUAL(expected[i], is_query(all.statements[i].body));
    }
}

TEST_GROUP(mistakes){};

TEST(mistakes, are_reported_with_position_and_suggestion)
{
    const struct
    {
        const char* text;
        const char* found;
    } rows[] = {
        {"shwo hosts",
            "in:1:1: expected a statement (show, why, set, drain, move, start, stop, cancel, "
            "resume, "
            "submit), not 'shwo' (did you mean 'show'?)"},
        {"show hots",
            "in:1:6: expected a table (hosts, pools, waves, jobs, members, config, experiments, "
            "policies, teams), not 'hots' (did you mean 'hosts'?)"},
        {"show",
            "in:1:5: expected a table (hosts, pools, waves, jobs, members, config, experiments, "
            "policies, teams), not the end of the statement"},
        {"show hosts were a = 1",
            "in:1:12: expected the end of the statement, not 'were' (did you mean 'where'?)"},
        {"show hosts where a = b adn c = d",
            "in:1:24: expected the end of the statement, not 'adn' (did you mean 'and'?)"},
        {"show hosts where", "in:1:17: expected a condition, not the end of the statement"},
        {"show hosts where a",
            "in:1:19: expected one of = != < <= > >= ~, not the end of the "
            "statement"},
        {"show hosts where a == b", "in:1:21: expected a value, not '='"},
        {"show hosts where a = # b", "in:1:22: expected a value, not the end of the statement"},
        {"show hosts order id", "in:1:18: expected 'by', not 'id'"},
        {"show hosts limit -1", "in:1:18: expected a whole number, 0 or more, not '-1'"},
        {"show hosts limit 1 order by id",
            "in:1:20: expected the end of the statement, not 'order'"},
        {"show hosts where a = \"b",
            "in:1:24: expected a closing quote, not the end of the "
            "statement"},
        {"why hots h1",
            "in:1:5: expected a subject (host, job, request, wave, pool), not 'hots' "
            "(did you mean 'host'?)"},
        {"why host", "in:1:9: expected a name, not the end of the statement"},
        {"set quotes x = 1",
            "in:1:5: expected something with settings (pool, policy, team, config), "
            "not 'quotes'"},
        {"set pool quotes", "in:1:16: expected a setting, not the end of the statement"},
        {"set pool quotes policy careful", "in:1:24: expected '=', not 'careful'"},
        {"drain hosts h1",
            "in:1:7: expected a selection of hosts (host, zone, rack, pool), not "
            "'hosts' (did you mean 'host'?)"},
        {"drain host h1 for leeving",
            "in:1:19: expected 'leaving', not 'leeving' (did you mean 'leaving'?)"},
        {"drain host h1 polcy p",
            "in:1:15: expected the end of the statement, not 'polcy' (did you mean 'policy'?)"},
        {"move host h1 in pool p", "in:1:14: expected 'to', not 'in'"},
        {"start wav x",
            "in:1:7: expected something to start (wave, experiment), not 'wav' (did you "
            "mean 'wave'?)"},
        {"start experiment e arms a on pool p", "in:1:27: expected '=', not 'on'"},
        {"start experiment e arms a=b,c=d on pools p",
            "in:1:36: expected 'pool', not 'pools' (did you mean 'pool'?)"},
        {"start experiment e arms a=b,c=d on pool p for 14 days",
            "in:1:47: expected a duration such as 2h or 14d, not '14'"},
        {"start experiment e arms a=b,c=d on pool p for 99999999999999d",
            "in:1:47: expected a duration such as 2h or 14d, not '99999999999999d'"},
        {"start experiment e arms a=b on pool p",
            "in:1:18: an experiment compares two arms or more"},
        {"start experiment e arms a=b,a=c on pool p,p",
            "in:1:29: arm 'a' is named twice\nin:1:43: pool 'p' is named twice"},
        {"stop wave w", "in:1:6: expected 'experiment', not 'wave'"},
        {"cancel everything",
            "in:1:8: expected something to cancel (wave, job, jobs), not 'everything'"},
        {"cancel jobs", "in:1:12: expected 'where', not the end of the statement"},
        {"submit job [1]", "in:1:12: expected a complete JSON object in braces, not '['"},
        {"submit job {\"a\": ", "in:1:12: expected a complete JSON object in braces, not '{'"},
        {"submit job {\"a\": }",
            "in:1:18: syntax error while parsing value - unexpected '}'; "
            "expected '[', '{', or a literal"},
        {"submit job {\n\"a\" 1}",
            "in:2:5: syntax error while parsing object separator - unexpected "
            "number literal; expected ':'"},
        {"\x1b[2J",
            "in:1:1: expected a statement (show, why, set, drain, move, start, stop, cancel, "
            "resume, submit), not '?'"},
    };
    for (const auto& it : rows)
    {
        std::string text = core::to_text(parse(it.text, "in").findings);
        text.pop_back();
        STRCMP_EQUAL(it.found, text.c_str());
    }
}

TEST(mistakes, are_reported_all_together)
{
    const auto read = parse("show hots\nshow pools; why hast h; submot job {\"a\":\n\"b;\"}\n"
                            "set pool p budget.absnt = 2, spare = maybe\ncancel\n",
        "night.txt");
    STRCMP_EQUAL("2:1 show pools\n"
                 "4:1 set pool p budget.absnt = 2, spare = maybe\n"
                 "night.txt:1:6: expected a table (hosts, pools, waves, jobs, members, config, "
                 "experiments, policies, teams), not 'hots' (did you mean 'hosts'?)\n"
                 "night.txt:2:17: expected a subject (host, job, request, wave, pool), not 'hast' "
                 "(did you mean 'host'?)\n"
                 "night.txt:2:25: expected a statement (show, why, set, drain, move, start, stop, "
                 "cancel, resume, submit), not 'submot' (did you mean 'submit'?)\n"
                 "night.txt:4:12: 'budget.absnt' is no pool setting (did you mean "
                 "'budget.absent'?)\n"
                 "night.txt:4:38: 'spare' takes true or false, not 'maybe'\n"
                 "night.txt:5:7: expected something to cancel (wave, job, jobs), not the end of "
                 "the statement\n",
        printed(read).c_str());
}

TEST(mistakes, in_very_large_texts_give_a_bounded_number_of_findings)
{
    std::string many;
    for (std::size_t i = 0; i < max_findings * 3; ++i)
    {
        many += "x;";
    }
    const auto bounded = parse(many, "");
    LONGS_EQUAL(max_findings + 1, bounded.findings.size());
    STRCMP_EQUAL("too many findings; not read from here on", bounded.findings.back().text.c_str());
    const auto refused = parse(std::string(max_text_bytes + 1, ' '), "");
    STRCMP_EQUAL("longer than 1048576 bytes, not read", refused.findings.at(0).text.c_str());
    LONGS_EQUAL(1, parse("submit job " + std::string(max_text_bytes / 2, '{'), "").findings.size());
}
