#include "language/statements.hpp"
#include "language/values.hpp"
#include "source.hpp"

#include <algorithm>

namespace camphorhitch::language
{

namespace
{

std::string quote(const std::string& text)
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

std::string name_text(const name& n)
{
    return quoted_if_needed(n.text);
}

template <class E, std::size_t N>
std::string name_in(const core::name_table<E, N>& table, E v)
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
                               return name_text(it.field) + ' ' + name_in(comparison_names, it.op) +
                                      ' ' + quoted_if_needed(it.operand.text);
                           });
}

std::string optional_text(const char* keyword, const std::optional<name>& n)
{
    return n ? keyword + name_text(*n) : std::string{};
}

struct printer
{
    std::string operator()(const show_statement& s) const
    {
        std::string text = "show " + name_in(table_kind_names, s.table) + where_text(s.where);
        if (s.order)
        {
            text += " order by " + name_text(s.order->field) + (s.order->descending ? " desc" : "");
        }
        return text + (s.limit ? " limit " + std::to_string(*s.limit) : "");
    }

    std::string operator()(const why_statement& s) const
    {
        return "why " + name_in(subject_kind_names, s.kind) + ' ' + name_text(s.id);
    }

    std::string operator()(const set_statement& s) const
    {
        const bool is_named = s.owner != setting_owner::config;
        return "set " + name_in(setting_owner_names, s.owner) +
               (is_named ? ' ' + name_text(s.owner_name) : std::string{}) + ' ' +
               joined(s.assignments,
                   ", ",
                   [](const assignment& it)
                   { return name_text(it.field) + " = " + quoted_if_needed(it.new_value.text); });
    }

    std::string operator()(const drain_statement& s) const
    {
        return "drain " + name_in(drain_scope_names, s.scope) + ' ' + name_text(s.scope_name) +
               (s.leaving ? " for leaving" : "") + optional_text(" wave ", s.wave) +
               optional_text(" policy ", s.policy);
    }

    std::string operator()(const move_statement& s) const
    {
        return "move host " + name_text(s.host) + " to pool " + name_text(s.pool);
    }

    std::string operator()(const start_wave_statement& s) const
    {
        return "start wave " + name_text(s.id) + where_text(s.where) +
               optional_text(" policy ", s.policy);
    }

    std::string operator()(const start_experiment_statement& s) const
    {
        const auto arm = [](const experiment_arm& it)
        {
            return name_text(it.arm) + '=' + name_text(it.policy);
        };
        const auto pool = [](const name& it)
        {
            return name_text(it);
        };
        return "start experiment " + name_text(s.id) + " arms " + joined(s.arms, ",", arm) +
               " on pool " + joined(s.pools, ",", pool) +
               (s.duration ? " for " + to_text(*s.duration) : "") +
               (s.seed ? " seed " + std::to_string(*s.seed) : "");
    }

    std::string operator()(const stop_experiment_statement& s) const
    {
        return "stop experiment " + name_text(s.id);
    }

    std::string operator()(const cancel_wave_statement& s) const
    {
        return "cancel wave " + name_text(s.id);
    }

    std::string operator()(const resume_wave_statement& s) const
    {
        return "resume wave " + name_text(s.id);
    }

    std::string operator()(const cancel_job_statement& s) const
    {
        return "cancel job " + name_text(s.id);
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

std::string quoted_if_needed(const std::string& text)
{
    const bool is_word = !text.empty() && std::all_of(text.begin(), text.end(), is_word_char);
    return is_word ? text : quote(text);
}

} // namespace camphorhitch::language
