#include "grammar.hpp"

#include "expectations.hpp"
#include "language/values.hpp"
#include "parsers.hpp"

namespace camphorhitch::language
{

namespace
{

// ---- names, values, conditions ----

const x3::rule<struct text_id, std::string> text_rule{"a text"};
const auto text_rule_def = quoted | word;
BOOST_SPIRIT_DEFINE(text_rule)

const x3::rule<struct name_id, name> name_rule{"a name"};
const auto name_rule_def =
    current_position[assign_to(&name::at)] >> text_rule[assign_to(&name::text)];
BOOST_SPIRIT_DEFINE(name_rule)

const x3::rule<struct field_id, name> field_rule{"a field"};
const auto field_rule_def =
    current_position[assign_to(&name::at)] >> text_rule[assign_to(&name::text)];
BOOST_SPIRIT_DEFINE(field_rule)

const x3::rule<struct value_id, value> value_rule{"a value"};
const auto value_rule_def =
    current_position[assign_to(&value::at)] >> text_rule[assign_to(&value::text)];
BOOST_SPIRIT_DEFINE(value_rule)

const x3::rule<struct count_id, std::int64_t> count{"a whole number, 0 or more"};
const auto count_def = word[convert_with(
    [](const std::string& text)
    {
        const auto n = read_integer(text);
        return n && *n >= 0 ? n : std::nullopt;
    })];
BOOST_SPIRIT_DEFINE(count)

const x3::rule<struct duration_id, core::millis> duration{"a duration such as 2h or 14d"};
const auto duration_def =
    word[convert_with([](const std::string& text) { return read_duration(text); })];
BOOST_SPIRIT_DEFINE(duration)

const x3::rule<struct comparison_id, comparison> comparison_rule{"one of = != < <= > >= ~"};
const auto comparison_rule_def = []()
{
    x3::symbols<comparison> operators;
    for (const auto& it : comparison_names)
    {
        operators.add(std::string(it.name), it.value);
    }
    return operators;
}();
BOOST_SPIRIT_DEFINE(comparison_rule)

const x3::rule<struct condition_id, condition> condition_rule{"a condition"};
const auto condition_rule_def = field_rule[assign_to(&condition::field)] >
                                comparison_rule[assign_to(&condition::op)] >
                                value_rule[assign_to(&condition::operand)];
BOOST_SPIRIT_DEFINE(condition_rule)

const auto and_word = keyword("and", "'and'");
const auto comma = symbol(",", "','");
const auto equals = symbol("=", "'='");

const x3::rule<struct where_id, conditions> where_clause{"'where'"};
const auto where_clause_def = keyword("where", "'where'") > (condition_rule % and_word);
BOOST_SPIRIT_DEFINE(where_clause)

const x3::rule<struct policy_id, name> policy_clause{"'policy'"};
const auto policy_clause_def = keyword("policy", "'policy'") > name_rule;
BOOST_SPIRIT_DEFINE(policy_clause)

/// Matches the end of a statement. The separator is part of no statement and is not consumed.
const x3::rule<struct end_id> end{expected_end};
const auto end_def = &(x3::eoi | x3::char_(";\n#"));
BOOST_SPIRIT_DEFINE(end)

// ---- statements ----

const x3::rule<struct order_id, ordering> order_clause{"'order by'"};
const auto order_clause_def = keyword("order", "'order'") >
                              keyword("by", "'by'") > field_rule[assign_to(&ordering::field)] >
                              -(keyword("desc", "'desc'")[set_flag(&ordering::descending)] |
                                  keyword("asc", "'asc'"));
BOOST_SPIRIT_DEFINE(order_clause)

const x3::rule<struct show_id, show_statement> show{"show"};
const auto show_def = keyword("show", "'show'") >
                      one_of(table_kind_names, expected_table)[assign_to(&show_statement::table)] >
                      -where_clause[assign_to(&show_statement::where)] >
                      -order_clause[assign_to(&show_statement::order)] >
                      -(keyword("limit", "'limit'") > count[assign_to(&show_statement::limit)]);
BOOST_SPIRIT_DEFINE(show)

const x3::rule<struct why_id, why_statement> why{"why"};
const auto why_def = keyword("why", "'why'") >
                     one_of(subject_kind_names, expected_subject)[assign_to(&why_statement::kind)] >
                     name_rule[assign_to(&why_statement::id)];
BOOST_SPIRIT_DEFINE(why)

const x3::rule<struct assignment_id, assignment> assignment_rule{"a setting"};
const auto assignment_rule_def = field_rule[assign_to(&assignment::field)] > equals >
                                 value_rule[assign_to(&assignment::new_value)];
BOOST_SPIRIT_DEFINE(assignment_rule)

const auto is_config = [](auto& context)
{
    x3::_pass(context) = x3::_val(context).owner == setting_owner::config;
};

const x3::rule<struct set_id, set_statement> set{"set"};
const auto set_def = keyword("set", "'set'") >
                     one_of(setting_owner_names, expected_owner)[assign_to(&set_statement::owner)] >
                     (x3::eps[is_config] | name_rule[assign_to(&set_statement::owner_name)]) >
                     (assignment_rule[append_to(&set_statement::assignments)] % comma);
BOOST_SPIRIT_DEFINE(set)

const x3::rule<struct drain_id, drain_statement> drain{"drain"};
const auto
    drain_def = keyword("drain", "'drain'") >
                one_of(drain_scope_names, expected_selection)[assign_to(&drain_statement::scope)] >
                name_rule[assign_to(&drain_statement::scope_name)] >
                ((keyword("for", "'for'") >
                     keyword("leaving", "'leaving'")[set_flag(&drain_statement::leaving)]) |
                    (-(keyword("wave", "'wave'") > name_rule[assign_to(&drain_statement::wave)]) >>
                        -policy_clause[assign_to(&drain_statement::policy)]));
BOOST_SPIRIT_DEFINE(drain)

const x3::rule<struct move_id, move_statement> move{"move"};
const auto move_def = keyword("move", "'move'") >
                      keyword("host", "'host'") > name_rule[assign_to(&move_statement::host)] >
                      keyword("to", "'to'") >
                      keyword("pool", "'pool'") > name_rule[assign_to(&move_statement::pool)];
BOOST_SPIRIT_DEFINE(move)

const x3::rule<struct start_wave_id, start_wave_statement> start_wave{"wave"};
const auto start_wave_def = keyword("wave", "'wave'") >
                            name_rule[assign_to(&start_wave_statement::id)] >
                            -where_clause[assign_to(&start_wave_statement::where)] >
                            -policy_clause[assign_to(&start_wave_statement::policy)];
BOOST_SPIRIT_DEFINE(start_wave)

const x3::rule<struct arm_id, experiment_arm> arm_rule{"an arm"};
const auto arm_rule_def = name_rule[assign_to(&experiment_arm::arm)] > equals >
                          name_rule[assign_to(&experiment_arm::policy)];
BOOST_SPIRIT_DEFINE(arm_rule)

using experiment_start = start_experiment_statement;

const x3::rule<struct experiment_id, experiment_start> start_experiment{"experiment"};
const auto start_experiment_def =
    keyword("experiment", "'experiment'") > name_rule[assign_to(&experiment_start::id)] >
    keyword("arms", "'arms'") > (arm_rule[append_to(&experiment_start::arms)] % comma) >
    keyword("on", "'on'") > keyword("pool", "'pool'") >
    (name_rule[append_to(&experiment_start::pools)] % comma) >
    -(keyword("for", "'for'") > duration[assign_to(&experiment_start::duration)]) >
    -(keyword("seed", "'seed'") > count[assign_to(&experiment_start::seed)]);
BOOST_SPIRIT_DEFINE(start_experiment)

const x3::rule<struct stop_id, stop_experiment_statement> stop_experiment{"stop"};
const auto stop_experiment_def =
    keyword("stop", "'stop'") >
    keyword("experiment", "'experiment'") > name_rule[assign_to(&stop_experiment_statement::id)];
BOOST_SPIRIT_DEFINE(stop_experiment)

const x3::rule<struct cancel_wave_id, cancel_wave_statement> cancel_wave{"cancel wave"};
const auto cancel_wave_def =
    keyword("wave", "'wave'") > name_rule[assign_to(&cancel_wave_statement::id)];
BOOST_SPIRIT_DEFINE(cancel_wave)

const x3::rule<struct resume_id, resume_wave_statement> resume_wave{"resume"};
const auto resume_wave_def = keyword("resume", "'resume'") >
                             keyword("wave",
                                 "'wave'") > name_rule[assign_to(&resume_wave_statement::id)];
BOOST_SPIRIT_DEFINE(resume_wave)

const x3::rule<struct cancel_job_id, cancel_job_statement> cancel_job{"cancel job"};
const auto cancel_job_def =
    keyword("job", "'job'") > name_rule[assign_to(&cancel_job_statement::id)];
BOOST_SPIRIT_DEFINE(cancel_job)

const x3::rule<struct cancel_jobs_id, cancel_jobs_statement> cancel_jobs{"cancel jobs"};
const auto cancel_jobs_def =
    keyword("jobs", "'jobs'") > where_clause[assign_to(&cancel_jobs_statement::where)];
BOOST_SPIRIT_DEFINE(cancel_jobs)

const x3::rule<struct json_id, std::string> json_object{"a complete JSON object in braces"};
const auto json_object_def = braced_object;
BOOST_SPIRIT_DEFINE(json_object)

const x3::rule<struct submit_id, submit_job_statement> submit_job{"submit"};
const auto submit_job_def = keyword("submit", "'submit'") >
                            keyword("job",
                                "'job'") > current_position[assign_to(&submit_job_statement::at)] >
                            json_object[assign_to(&submit_job_statement::json)];
BOOST_SPIRIT_DEFINE(submit_job)

const auto assign_value = [](auto& context)
{
    x3::_val(context) = std::move(x3::_attr(context));
};

const x3::rule<struct to_start_id, statement> startable_statement{expected_startable};
const auto startable_statement_def = start_wave[assign_value] | start_experiment[assign_value];
BOOST_SPIRIT_DEFINE(startable_statement)

const x3::rule<struct to_cancel_id, statement> cancellable_statement{expected_cancellable};
const auto cancellable_statement_def =
    cancel_wave[assign_value] | cancel_jobs[assign_value] | cancel_job[assign_value];
BOOST_SPIRIT_DEFINE(cancellable_statement)

const x3::rule<struct any_id, statement> statement_rule{expected_statement};
const auto statement_rule_def =
    show[assign_value] | why[assign_value] | set[assign_value] | drain[assign_value] |
    move[assign_value] | (keyword("start", "'start'") > startable_statement[assign_value]) |
    stop_experiment[assign_value] |
    (keyword("cancel", "'cancel'") > cancellable_statement[assign_value]) |
    resume_wave[assign_value] | submit_job[assign_value];
BOOST_SPIRIT_DEFINE(statement_rule)

const auto complete_statement = x3::eps > statement_rule > end;

} // namespace

std::variant<parsed_statement, core::finding> read_statement(
    const source& text, const char* it, const std::string& document)
{
    parsed_statement read;
    try
    {
        const auto in_source = x3::with<source_tag>(std::cref(text))[complete_statement];
        x3::phrase_parse(it, text.end(), in_source, blank, read.body);
    }
    catch (const x3::expectation_failure<const char*>& e)
    {
        return unexpected_input(text, e.where(), e.which(), document);
    }
    read.end = it;
    return read;
}

} // namespace camphorhitch::language
