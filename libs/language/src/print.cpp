#include "language/statements.hpp"
#include "language/values.hpp"
#include "source.hpp"

#include <algorithm>

namespace camphorhitch::language
{

namespace
{

std::string quoted(const std::string& text)
{
    std::string to = "\"";
    for (const char it : text)
    {
        switch (it)
        {
        case '\n':
            to += "\\n";
            break;
        case '"':
        case '\\':
            to += '\\';
            to += it;
            break;
        default:
            to += it;
        }
    }
    return to + '"';
}

std::string written_name(const name& n)
{
    return written(n.text);
}

template <class E, std::size_t N>
std::string word(const core::name_table<E, N>& table, E v)
{
    return std::string(core::name_of(table, v));
}

template <class List, class Print>
std::string joined(const List& all, const char* separator, Print print)
{
    std::string text;
    for (const auto& it : all)
    {
        text += (text.empty() ? "" : separator) + print(it);
    }
    return text;
}

std::string where_text(const conditions& where)
{
    if (where.empty())
    {
        return {};
    }
    return " where " + joined(where,
                           " and ",
                           [](const condition& it)
                           {
                               return written_name(it.field) + ' ' +
                                      word(comparison_names, it.how) + ' ' +
                                      written(it.operand.text);
                           });
}

std::string optional_text(const char* keyword, const std::optional<name>& n)
{
    return n ? keyword + written_name(*n) : std::string{};
}

struct printer
{
    std::string operator()(const show_statement& s) const
    {
        std::string text = "show " + word(table_kind_names, s.what) + where_text(s.where);
        if (s.order)
        {
            text +=
                " order by " + written_name(s.order->field) + (s.order->descending ? " desc" : "");
        }
        return text + (s.limit ? " limit " + std::to_string(*s.limit) : "");
    }

    std::string operator()(const why_statement& s) const
    {
        return "why " + word(subject_kind_names, s.kind) + ' ' + written_name(s.id);
    }

    std::string operator()(const set_statement& s) const
    {
        const bool is_named = s.owner != setting_owner::config;
        return "set " + word(setting_owner_names, s.owner) +
               (is_named ? ' ' + written_name(s.of) : std::string{}) + ' ' +
               joined(s.assignments,
                   ", ",
                   [](const assignment& it)
                   { return written_name(it.field) + " = " + written(it.to.text); });
    }

    std::string operator()(const drain_statement& s) const
    {
        return "drain " + word(drain_by_names, s.by) + ' ' + written_name(s.what) +
               (s.leaving ? " for leaving" : "") + optional_text(" wave ", s.wave) +
               optional_text(" policy ", s.policy);
    }

    std::string operator()(const move_statement& s) const
    {
        return "move host " + written_name(s.host) + " to pool " + written_name(s.pool);
    }

    std::string operator()(const start_wave_statement& s) const
    {
        return "start wave " + written_name(s.id) + where_text(s.where) +
               optional_text(" policy ", s.policy);
    }

    std::string operator()(const start_experiment_statement& s) const
    {
        const auto arm = [](const experiment_arm& it)
        {
            return written_name(it.arm) + '=' + written_name(it.policy);
        };
        const auto pool = [](const name& it)
        {
            return written_name(it);
        };
        return "start experiment " + written_name(s.id) + " arms " + joined(s.arms, ",", arm) +
               " on pool " + joined(s.pools, ",", pool) +
               (s.duration ? " for " + to_text(*s.duration) : "") +
               (s.seed ? " seed " + std::to_string(*s.seed) : "");
    }

    std::string operator()(const stop_experiment_statement& s) const
    {
        return "stop experiment " + written_name(s.id);
    }

    std::string operator()(const cancel_wave_statement& s) const
    {
        return "cancel wave " + written_name(s.id);
    }

    std::string operator()(const resume_wave_statement& s) const
    {
        return "resume wave " + written_name(s.id);
    }

    std::string operator()(const cancel_job_statement& s) const
    {
        return "cancel job " + written_name(s.id);
    }

    std::string operator()(const cancel_jobs_statement& s) const
    {
        return "cancel jobs" + where_text(s.where);
    }

    std::string operator()(const submit_job_statement& s) const
    {
        return "submit job " + s.json;
    }
};

} // namespace

std::string to_text(const statement& s)
{
    return std::visit(printer{}, s);
}

bool is_query(const statement& s)
{
    return std::holds_alternative<show_statement>(s) || std::holds_alternative<why_statement>(s);
}

std::string written(const std::string& text)
{
    const bool is_word = !text.empty() && std::all_of(text.begin(), text.end(), is_word_char);
    return is_word ? text : quoted(text);
}

} // namespace camphorhitch::language
