#include "grammar.hpp"

#include "language/values.hpp"

#include <boost/spirit/home/x3.hpp>
#include <string_view>

// How Spirit names what it expected: compound parsers by the part that says it best.
namespace boost::spirit::x3
{

template <class Subject, class Action>
struct get_info<action<Subject, Action>>
{
    using result_type = std::string;

    std::string operator()(const action<Subject, Action>& p) const
    {
        return what(p.subject);
    }
};

template <class Left, class Right>
struct get_info<list<Left, Right>>
{
    using result_type = std::string;

    std::string operator()(const list<Left, Right>& p) const
    {
        return what(p.left);
    }
};

template <class Left, class Right>
struct get_info<alternative<Left, Right>>
{
    using result_type = std::string;

    std::string operator()(const alternative<Left, Right>& p) const
    {
        return what(p.right);
    }
};

} // namespace boost::spirit::x3

namespace camphorhitch::language
{

namespace
{

namespace x3 = boost::spirit::x3;

/// Under this tag the parser's context carries the source.
struct source_tag;

// ---- what is expected where, as findings name it ----

constexpr const char* a_statement = "a statement";
constexpr const char* a_table = "a table";
constexpr const char* a_subject = "a subject";
constexpr const char* an_owner = "something with settings";
constexpr const char* a_selection = "a selection of hosts";
constexpr const char* startable = "something to start";
constexpr const char* cancellable = "something to cancel";
constexpr const char* end_of_statement = "the end of the statement";

struct expectation
{
    std::string_view what;
    std::vector<std::string> words;
    bool is_listed; ///< in the finding
};

template <class E, std::size_t N>
std::vector<std::string> words_of(const core::name_table<E, N>& table)
{
    std::vector<std::string> all;
    for (const auto& it : table)
    {
        all.emplace_back(it.name);
    }
    return all;
}

const std::vector<expectation>& expectations()
{
    static const std::vector<expectation> all = {
        {a_statement,
            {"show", "why", "set", "drain", "move", "start", "stop", "cancel", "resume", "submit"},
            true},
        {a_table, words_of(table_kind_names), true},
        {a_subject, words_of(subject_kind_names), true},
        {an_owner, words_of(setting_owner_names), true},
        {a_selection, words_of(drain_by_names), true},
        {startable, {"wave", "experiment"}, true},
        {cancellable, {"wave", "job", "jobs"}, true},
        {end_of_statement,
            {"where", "and", "order", "limit", "desc", "policy", "wave", "for", "seed"},
            false},
    };
    return all;
}

// ---- small parsers ----

/// Takes nothing and gives the place of what comes next.
struct here_parser : x3::parser<here_parser>
{
    using attribute_type = position;
    static constexpr bool has_attribute = true;

    template <class Iterator, class Context, class RuleContext, class Attribute>
    bool parse(Iterator& first,
        const Iterator& last,
        const Context& context,
        RuleContext&,
        Attribute& to) const
    {
        x3::skip_over(first, last, context);
        const source& text = x3::get<source_tag>(context);
        x3::traits::move_to(text.position_of(first), to);
        return true;
    }
};

/// Takes an object in braces; the braces inside quotes don't count.
struct braces_parser : x3::parser<braces_parser>
{
    using attribute_type = std::string;
    static constexpr bool has_attribute = true;

    template <class Iterator, class Context, class RuleContext, class Attribute>
    bool parse(Iterator& first,
        const Iterator& last,
        const Context& context,
        RuleContext&,
        Attribute& to) const
    {
        x3::skip_over(first, last, context);
        const source& text = x3::get<source_tag>(context);
        const char* after = first != last && *first == '{' ? text.after_braces(first) : nullptr;
        if (after == nullptr)
        {
            return false;
        }
        x3::traits::move_to(std::string(first, after), to);
        first = after;
        return true;
    }
};

const here_parser here{};
const braces_parser braces{};

const auto blank = x3::char_(" \t\r");
const auto word_char = x3::char_("A-Za-z0-9_.:/@+-") | x3::char_('\x80', '\xff');
const auto escape = '\\' >> (x3::char_("\"\\") | (x3::lit('n') >> x3::attr('\n')));
const auto closing_quote = x3::rule<struct closing_quote_id>{"a closing quote"} = x3::lit('"');
const auto word = x3::rule<struct word_id, std::string>{"a word"} = x3::lexeme[+word_char];
const auto quoted = x3::rule<struct quoted_id, std::string>{"a text in quotes"} =
    x3::lexeme['"' >> *(escape | (x3::char_ - x3::char_("\"\\\n"))) > closing_quote];

/// A whole word. \p shown is how findings name it.
auto keyword(const char* text, const char* shown)
{
    return x3::rule<struct keyword_id>{shown} = x3::lexeme[x3::lit(text) >> !word_char];
}

auto sign(const char* text, const char* shown)
{
    return x3::rule<struct sign_id>{shown} = x3::lit(text);
}

/// One of the names in \p table, as a whole word.
template <class E, std::size_t N>
auto one_of(const core::name_table<E, N>& table, const char* shown)
{
    x3::symbols<E> names;
    for (const auto& it : table)
    {
        names.add(std::string(it.name), it.value);
    }
    return x3::rule<struct one_of_id, E>{shown} = x3::lexeme[names >> !word_char];
}

// ---- actions: the attribute into a member of the rule's value ----

template <class Member>
auto into(Member member)
{
    return [member](auto& context)
    {
        x3::_val(context).*member = std::move(x3::_attr(context));
    };
}

template <class Member>
auto append_to(Member member)
{
    return [member](auto& context)
    {
        (x3::_val(context).*member).push_back(std::move(x3::_attr(context)));
    };
}

template <class Member>
auto raise(Member member)
{
    return [member](auto& context)
    {
        x3::_val(context).*member = true;
    };
}

/// Reads the word by \p read, and fails where it can't.
template <class Read>
auto as(Read read)
{
    return [read](auto& context)
    {
        const auto n = read(x3::_attr(context));
        x3::_pass(context) = n.has_value();
        x3::_val(context) = n.value_or(std::decay_t<decltype(*n)>{});
    };
}

// ---- names, values, conditions ----

const auto text_of = x3::rule<struct text_id, std::string>{"a text"} = quoted | word;

const auto a_name = x3::rule<struct name_id, name>{"a name"} =
    here[into(&name::at)] >> text_of[into(&name::text)];

const auto a_field = x3::rule<struct field_id, name>{"a field"} =
    here[into(&name::at)] >> text_of[into(&name::text)];

const auto a_value = x3::rule<struct value_id, value>{"a value"} =
    here[into(&value::at)] >> text_of[into(&value::text)];

const auto count = x3::rule<struct count_id, std::int64_t>{"a whole number, 0 or more"} = word[as(
    [](const std::string& text)
    {
        const auto n = read_whole(text);
        return n && *n >= 0 ? n : std::nullopt;
    })];

const auto duration = x3::rule<struct duration_id, core::millis>{"a duration such as 2h or 14d"} =
    word[as([](const std::string& text) { return read_duration(text); })];

const auto a_comparison =
    x3::rule<struct comparison_id, comparison>{"one of = != < <= > >= ~"} = []()
{
    x3::symbols<comparison> signs;
    for (const auto& it : comparison_names)
    {
        signs.add(std::string(it.name), it.value);
    }
    return signs;
}();

const auto a_condition = x3::rule<struct condition_id, condition>{"a condition"} =
    a_field[into(&condition::field)] > a_comparison[into(&condition::how)] >
    a_value[into(&condition::operand)];

const auto and_word = keyword("and", "'and'");
const auto comma = sign(",", "','");
const auto equals = sign("=", "'='");

const auto where_clause = x3::rule<struct where_id, conditions>{
    "'where'"} = keyword("where", "'where'") > (a_condition % and_word);

const auto policy_clause = x3::rule<struct policy_id, name>{"'policy'"} =
    keyword("policy", "'policy'") > a_name;

/// The end is only looked at: the separator belongs to no statement.
const auto end = x3::rule<struct end_id>{end_of_statement} = &(x3::eoi | x3::char_(";\n#"));

// ---- statements ----

const auto order_clause = x3::rule<struct order_id, ordering>{"'order by'"} =
    keyword("order", "'order'") > keyword("by", "'by'") > a_field[into(&ordering::field)] >
    -(keyword("desc", "'desc'")[raise(&ordering::descending)] | keyword("asc", "'asc'"));

const auto show = x3::rule<struct show_id, show_statement>{"show"} =
    keyword("show", "'show'") > one_of(table_kind_names, a_table)[into(&show_statement::what)] >
    -where_clause[into(&show_statement::where)] > -order_clause[into(&show_statement::order)] >
    -(keyword("limit", "'limit'") > count[into(&show_statement::limit)]);

const auto why = x3::rule<struct why_id, why_statement>{"why"} =
    keyword("why", "'why'") >
    one_of(subject_kind_names,
        a_subject)[into(&why_statement::kind)] > a_name[into(&why_statement::id)];

const auto an_assignment = x3::rule<struct assignment_id, assignment>{"a setting"} =
    a_field[into(&assignment::field)] > equals > a_value[into(&assignment::to)];

const auto is_config = [](auto& context)
{
    x3::_pass(context) = x3::_val(context).owner == setting_owner::config;
};

const auto set = x3::rule<struct set_id, set_statement>{"set"} =
    keyword("set", "'set'") > one_of(setting_owner_names, an_owner)[into(&set_statement::owner)] >
    (x3::eps[is_config] | a_name[into(&set_statement::of)]) >
    (an_assignment[append_to(&set_statement::assignments)] % comma);

const auto drain = x3::rule<struct drain_id, drain_statement>{"drain"} =
    keyword("drain", "'drain'") >
    one_of(drain_by_names,
        a_selection)[into(&drain_statement::by)] > a_name[into(&drain_statement::what)] >
    ((keyword("for", "'for'") > keyword("leaving", "'leaving'")[raise(&drain_statement::leaving)]) |
        (-(keyword("wave", "'wave'") > a_name[into(&drain_statement::wave)]) >>
            -policy_clause[into(&drain_statement::policy)]));

const auto move = x3::rule<struct move_id, move_statement>{"move"} =
    keyword("move", "'move'") > keyword("host", "'host'") > a_name[into(&move_statement::host)] >
    keyword("to", "'to'") > keyword("pool", "'pool'") > a_name[into(&move_statement::pool)];

const auto start_wave = x3::rule<struct start_wave_id, start_wave_statement>{"wave"} =
    keyword("wave", "'wave'") > a_name[into(&start_wave_statement::id)] >
    -where_clause[into(&start_wave_statement::where)] >
    -policy_clause[into(&start_wave_statement::policy)];

const auto an_arm = x3::rule<struct arm_id, experiment_arm>{"an arm"} =
    a_name[into(&experiment_arm::arm)] > equals > a_name[into(&experiment_arm::policy)];

using experiment_start = start_experiment_statement;

const auto start_experiment = x3::rule<struct experiment_id, experiment_start>{"experiment"} =
    keyword("experiment", "'experiment'") > a_name[into(&experiment_start::id)] >
    keyword("arms", "'arms'") > (an_arm[append_to(&experiment_start::arms)] % comma) >
    keyword("on", "'on'") > keyword("pool", "'pool'") >
    (a_name[append_to(&experiment_start::pools)] % comma) >
    -(keyword("for", "'for'") > duration[into(&experiment_start::duration)]) >
    -(keyword("seed", "'seed'") > count[into(&experiment_start::seed)]);

const auto stop_experiment = x3::rule<struct stop_id, stop_experiment_statement>{"stop"} =
    keyword("stop", "'stop'") >
    keyword("experiment", "'experiment'") > a_name[into(&stop_experiment_statement::id)];

const auto cancel_wave = x3::rule<struct cancel_wave_id, cancel_wave_statement>{"cancel wave"} =
    keyword("wave", "'wave'") > a_name[into(&cancel_wave_statement::id)];

const auto resume_wave = x3::rule<struct resume_id, resume_wave_statement>{"resume"} =
    keyword("resume", "'resume'") >
    keyword("wave", "'wave'") > a_name[into(&resume_wave_statement::id)];

const auto cancel_job = x3::rule<struct cancel_job_id, cancel_job_statement>{"cancel job"} =
    keyword("job", "'job'") > a_name[into(&cancel_job_statement::id)];

const auto cancel_jobs = x3::rule<struct cancel_jobs_id, cancel_jobs_statement>{"cancel jobs"} =
    keyword("jobs", "'jobs'") > where_clause[into(&cancel_jobs_statement::where)];

const auto json_object = x3::rule<struct json_id, std::string>{"a complete JSON object in braces"} = braces;

const auto submit_job = x3::rule<struct submit_id, submit_job_statement>{"submit"} =
    keyword("submit", "'submit'") >
    keyword("job", "'job'") > here[into(&submit_job_statement::at)] >
    json_object[into(&submit_job_statement::json)];

const auto keep = [](auto& context)
{
    x3::_val(context) = std::move(x3::_attr(context));
};

const auto to_start = x3::rule<struct to_start_id, statement>{startable} =
    start_wave[keep] | start_experiment[keep];

const auto to_cancel = x3::rule<struct to_cancel_id, statement>{cancellable} =
    cancel_wave[keep] | cancel_jobs[keep] | cancel_job[keep];

const auto any_statement = x3::rule<struct any_id, statement>{a_statement} =
    show[keep] | why[keep] | set[keep] | drain[keep] | move[keep] |
    (keyword("start", "'start'") > to_start[keep]) | stop_experiment[keep] |
    (keyword("cancel", "'cancel'") > to_cancel[keep]) | resume_wave[keep] | submit_job[keep];

const auto whole_statement = x3::eps > any_statement > end;

// ---- findings ----

/// \return what stands at \p it, for a finding.
std::string found_at(const source& text, const char* it)
{
    const char* after = it;
    while (after != text.end() && is_word_char(*after))
    {
        ++after;
    }
    if (after != it)
    {
        return std::string(it, after);
    }
    const bool is_end = it == text.end() || *it == '\n' || *it == ';' || *it == '#';
    return is_end ? std::string{} : std::string(1, *it);
}

std::string expected_text(const std::string& what)
{
    for (const auto& it : expectations())
    {
        if (it.what != what || !it.is_listed)
        {
            continue;
        }
        std::string text = what + " (";
        for (const auto& word : it.words)
        {
            text += (&word == &it.words.front() ? "" : ", ") + word;
        }
        return text + ')';
    }
    return what;
}

std::string suggestion_for(const std::string& what, const std::string& found)
{
    for (const auto& it : expectations())
    {
        if (it.what == what)
        {
            const auto near = core::nearest_name(found, it.words);
            return near == found ? std::string{} : near;
        }
    }
    // A keyword is named in quotes.
    const bool is_keyword = what.size() > 2 && what.front() == '\'';
    return is_keyword ? core::nearest_name(found, {what.substr(1, what.size() - 2)})
                      : std::string{};
}

core::finding unexpected(const source& text, const char* it, const std::string& what)
{
    while (it != text.end() && (*it == ' ' || *it == '\t' || *it == '\r'))
    {
        ++it;
    }
    const auto found = found_at(text, it);
    const auto shown = found.empty() ? "the end of the statement" : '\'' + found + '\'';
    return text.finding_at(text.position_of(it),
        "expected " + expected_text(what) + ", not " + shown,
        found.empty() ? std::string{} : suggestion_for(what, found));
}

} // namespace

std::variant<statement_end, core::finding> read_statement(const source& text, const char* it)
{
    statement_end read;
    try
    {
        const auto in_source = x3::with<source_tag>(std::cref(text))[whole_statement];
        x3::phrase_parse(it, text.end(), in_source, blank, read.what);
    }
    catch (const x3::expectation_failure<const char*>& e)
    {
        return unexpected(text, e.where(), e.which());
    }
    read.after = it;
    return read;
}

} // namespace camphorhitch::language
