#include "grammar.hpp"

#include "expectations.hpp"
#include "language/values.hpp"
#include "parsers.hpp"

namespace camphorhitch::language
{

namespace
{

// ---- names, values, conditions ----

const x3::rule<struct text_id, std::string> text_of{"a text"};
const auto text_of_def = quoted | word;
BOOST_SPIRIT_DEFINE(text_of)

const x3::rule<struct name_id, name> a_name{"a name"};
const auto a_name_def = here[into(&name::at)] >> text_of[into(&name::text)];
BOOST_SPIRIT_DEFINE(a_name)

const x3::rule<struct field_id, name> a_field{"a field"};
const auto a_field_def = here[into(&name::at)] >> text_of[into(&name::text)];
BOOST_SPIRIT_DEFINE(a_field)

const x3::rule<struct value_id, value> a_value{"a value"};
const auto a_value_def = here[into(&value::at)] >> text_of[into(&value::text)];
BOOST_SPIRIT_DEFINE(a_value)

const x3::rule<struct count_id, std::int64_t> count{"a whole number, 0 or more"};
const auto count_def = word[as(
    [](const std::string& text)
    {
        const auto n = read_whole(text);
        return n && *n >= 0 ? n : std::nullopt;
    })];
BOOST_SPIRIT_DEFINE(count)

const x3::rule<struct duration_id, core::millis> duration{"a duration such as 2h or 14d"};
const auto duration_def = word[as([](const std::string& text) { return read_duration(text); })];
BOOST_SPIRIT_DEFINE(duration)

const x3::rule<struct comparison_id, comparison> a_comparison{"one of = != < <= > >= ~"};
const auto a_comparison_def = []()
{
    x3::symbols<comparison> signs;
    for (const auto& it : comparison_names)
    {
        signs.add(std::string(it.name), it.value);
    }
    return signs;
}();
BOOST_SPIRIT_DEFINE(a_comparison)

const x3::rule<struct condition_id, condition> a_condition{"a condition"};
const auto a_condition_def = a_field[into(&condition::field)] >
                             a_comparison[into(&condition::how)] >
                             a_value[into(&condition::operand)];
BOOST_SPIRIT_DEFINE(a_condition)

const auto and_word = keyword("and", "'and'");
const auto comma = sign(",", "','");
const auto equals = sign("=", "'='");

const x3::rule<struct where_id, conditions> where_clause{"'where'"};
const auto where_clause_def = keyword("where", "'where'") > (a_condition % and_word);
BOOST_SPIRIT_DEFINE(where_clause)

const x3::rule<struct policy_id, name> policy_clause{"'policy'"};
const auto policy_clause_def = keyword("policy", "'policy'") > a_name;
BOOST_SPIRIT_DEFINE(policy_clause)

/// The end is only looked at: the separator belongs to no statement.
const x3::rule<struct end_id> end{end_of_statement};
const auto end_def = &(x3::eoi | x3::char_(";\n#"));
BOOST_SPIRIT_DEFINE(end)

// ---- statements ----

const x3::rule<struct order_id, ordering> order_clause{"'order by'"};
const auto order_clause_def = keyword("order", "'order'") >
                              keyword("by", "'by'") > a_field[into(&ordering::field)] >
                              -(keyword("desc", "'desc'")[raise(&ordering::descending)] |
                                  keyword("asc", "'asc'"));
BOOST_SPIRIT_DEFINE(order_clause)

const x3::rule<struct show_id, show_statement> show{"show"};
const auto show_def = keyword("show", "'show'") >
                      one_of(table_kind_names, a_table)[into(&show_statement::what)] >
                      -where_clause[into(&show_statement::where)] >
                      -order_clause[into(&show_statement::order)] >
                      -(keyword("limit", "'limit'") > count[into(&show_statement::limit)]);
BOOST_SPIRIT_DEFINE(show)

const x3::rule<struct why_id, why_statement> why{"why"};
const auto why_def = keyword("why", "'why'") >
                     one_of(subject_kind_names,
                         a_subject)[into(&why_statement::kind)] > a_name[into(&why_statement::id)];
BOOST_SPIRIT_DEFINE(why)

const x3::rule<struct assignment_id, assignment> an_assignment{"a setting"};
const auto an_assignment_def =
    a_field[into(&assignment::field)] > equals > a_value[into(&assignment::to)];
BOOST_SPIRIT_DEFINE(an_assignment)

const auto is_config = [](auto& context)
{
    x3::_pass(context) = x3::_val(context).owner == setting_owner::config;
};

const x3::rule<struct set_id, set_statement> set{"set"};
const auto set_def = keyword("set", "'set'") >
                     one_of(setting_owner_names, an_owner)[into(&set_statement::owner)] >
                     (x3::eps[is_config] | a_name[into(&set_statement::of)]) >
                     (an_assignment[append_to(&set_statement::assignments)] % comma);
BOOST_SPIRIT_DEFINE(set)

const x3::rule<struct drain_id, drain_statement> drain{"drain"};
const auto drain_def =
    keyword("drain", "'drain'") >
    one_of(drain_by_names,
        a_selection)[into(&drain_statement::by)] > a_name[into(&drain_statement::what)] >
    ((keyword("for", "'for'") > keyword("leaving", "'leaving'")[raise(&drain_statement::leaving)]) |
        (-(keyword("wave", "'wave'") > a_name[into(&drain_statement::wave)]) >>
            -policy_clause[into(&drain_statement::policy)]));
BOOST_SPIRIT_DEFINE(drain)

const x3::rule<struct move_id, move_statement> move{"move"};
const auto move_def = keyword("move", "'move'") >
                      keyword("host", "'host'") > a_name[into(&move_statement::host)] >
                      keyword("to", "'to'") >
                      keyword("pool", "'pool'") > a_name[into(&move_statement::pool)];
BOOST_SPIRIT_DEFINE(move)

const x3::rule<struct start_wave_id, start_wave_statement> start_wave{"wave"};
const auto start_wave_def = keyword("wave", "'wave'") > a_name[into(&start_wave_statement::id)] >
                            -where_clause[into(&start_wave_statement::where)] >
                            -policy_clause[into(&start_wave_statement::policy)];
BOOST_SPIRIT_DEFINE(start_wave)

const x3::rule<struct arm_id, experiment_arm> an_arm{"an arm"};
const auto an_arm_def =
    a_name[into(&experiment_arm::arm)] > equals > a_name[into(&experiment_arm::policy)];
BOOST_SPIRIT_DEFINE(an_arm)

using experiment_start = start_experiment_statement;

const x3::rule<struct experiment_id, experiment_start> start_experiment{"experiment"};
const auto start_experiment_def =
    keyword("experiment", "'experiment'") > a_name[into(&experiment_start::id)] >
    keyword("arms", "'arms'") > (an_arm[append_to(&experiment_start::arms)] % comma) >
    keyword("on", "'on'") > keyword("pool", "'pool'") >
    (a_name[append_to(&experiment_start::pools)] % comma) >
    -(keyword("for", "'for'") > duration[into(&experiment_start::duration)]) >
    -(keyword("seed", "'seed'") > count[into(&experiment_start::seed)]);
BOOST_SPIRIT_DEFINE(start_experiment)

const x3::rule<struct stop_id, stop_experiment_statement> stop_experiment{"stop"};
const auto stop_experiment_def = keyword("stop", "'stop'") >
                                 keyword("experiment",
                                     "'experiment'") > a_name[into(&stop_experiment_statement::id)];
BOOST_SPIRIT_DEFINE(stop_experiment)

const x3::rule<struct cancel_wave_id, cancel_wave_statement> cancel_wave{"cancel wave"};
const auto cancel_wave_def = keyword("wave", "'wave'") > a_name[into(&cancel_wave_statement::id)];
BOOST_SPIRIT_DEFINE(cancel_wave)

const x3::rule<struct resume_id, resume_wave_statement> resume_wave{"resume"};
const auto resume_wave_def = keyword("resume", "'resume'") >
                             keyword("wave", "'wave'") > a_name[into(&resume_wave_statement::id)];
BOOST_SPIRIT_DEFINE(resume_wave)

const x3::rule<struct cancel_job_id, cancel_job_statement> cancel_job{"cancel job"};
const auto cancel_job_def = keyword("job", "'job'") > a_name[into(&cancel_job_statement::id)];
BOOST_SPIRIT_DEFINE(cancel_job)

const x3::rule<struct cancel_jobs_id, cancel_jobs_statement> cancel_jobs{"cancel jobs"};
const auto cancel_jobs_def =
    keyword("jobs", "'jobs'") > where_clause[into(&cancel_jobs_statement::where)];
BOOST_SPIRIT_DEFINE(cancel_jobs)

const x3::rule<struct json_id, std::string> json_object{"a complete JSON object in braces"};
const auto json_object_def = braces;
BOOST_SPIRIT_DEFINE(json_object)

const x3::rule<struct submit_id, submit_job_statement> submit_job{"submit"};
const auto submit_job_def = keyword("submit", "'submit'") >
                            keyword("job", "'job'") > here[into(&submit_job_statement::at)] >
                            json_object[into(&submit_job_statement::json)];
BOOST_SPIRIT_DEFINE(submit_job)

const auto keep = [](auto& context)
{
    x3::_val(context) = std::move(x3::_attr(context));
};

const x3::rule<struct to_start_id, statement> to_start{startable};
const auto to_start_def = start_wave[keep] | start_experiment[keep];
BOOST_SPIRIT_DEFINE(to_start)

const x3::rule<struct to_cancel_id, statement> to_cancel{cancellable};
const auto to_cancel_def = cancel_wave[keep] | cancel_jobs[keep] | cancel_job[keep];
BOOST_SPIRIT_DEFINE(to_cancel)

const x3::rule<struct any_id, statement> any_statement{a_statement};
const auto any_statement_def =
    show[keep] | why[keep] | set[keep] | drain[keep] | move[keep] |
    (keyword("start", "'start'") > to_start[keep]) | stop_experiment[keep] |
    (keyword("cancel", "'cancel'") > to_cancel[keep]) | resume_wave[keep] | submit_job[keep];
BOOST_SPIRIT_DEFINE(any_statement)

const auto whole_statement = x3::eps > any_statement > end;

} // namespace

std::variant<statement_end, core::finding> read_statement(
    const source& text, const char* it, const std::string& document)
{
    statement_end read;
    try
    {
        const auto in_source = x3::with<source_tag>(std::cref(text))[whole_statement];
        x3::phrase_parse(it, text.end(), in_source, blank, read.what);
    }
    catch (const x3::expectation_failure<const char*>& e)
    {
        return unexpected(text, e.where(), e.which(), document);
    }
    read.after = it;
    return read;
}

} // namespace camphorhitch::language
