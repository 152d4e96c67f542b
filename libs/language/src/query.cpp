#include "finding.hpp"
#include "language/table.hpp"

#include <algorithm>
#include <compare>
#include <numeric>

namespace camphorhitch::language
{

namespace
{

std::vector<std::string> column_names(const table& t)
{
    std::vector<std::string> names;
    for (const auto& it : t.columns)
    {
        names.push_back(it.name);
    }
    return names;
}

/// \return the index of the column, or the number of columns and a finding.
std::size_t find_column(
    const table& t, const name& field, const std::string& document, core::findings& found)
{
    std::size_t i = 0;
    while (i < t.columns.size() && t.columns[i].name != field.text)
    {
        ++i;
    }
    if (i == t.columns.size())
    {
        found.push_back(finding_at(field.at,
            document,
            "no field " + quoted_excerpt(field.text) + " here",
            core::nearest_name(field.text, column_names(t))));
    }
    return i;
}

template <class T>
cell to_cell(const std::optional<T>& v)
{
    return v ? cell{*v} : cell{};
}

/// \return \p text as a cell of a column of \p kind, or an empty cell when it is not of that kind.
cell read_cell(value_kind kind, const std::string& text)
{
    switch (kind)
    {
    case value_kind::text:
        return text;
    case value_kind::integer:
    case value_kind::number:
        return to_cell(read_number(text));
    case value_kind::duration:
        return to_cell(read_duration(text));
    case value_kind::boolean:
        return to_cell(read_boolean(text));
    }
    return {};
}

/// Converts integers to double, so that integers and decimals compare with each other.
cell to_comparable(const cell& c)
{
    const auto* n = std::get_if<std::int64_t>(&c);
    return n != nullptr ? cell{static_cast<double>(*n)} : c;
}

std::partial_ordering compare(const cell& a, const cell& b)
{
    const cell x = to_comparable(a);
    const cell y = to_comparable(b);
    const bool comparable = x.index() == y.index() && x.index() != 0;
    if (!comparable)
    {
        return std::partial_ordering::unordered;
    }
    return x < y   ? std::partial_ordering::less
           : y < x ? std::partial_ordering::greater
                   : std::partial_ordering::equivalent;
}

/// A condition after its field and operand were checked against the table.
struct bound_condition
{
    std::size_t column;
    comparison op;
    cell operand;
    bool compares_with_empty;
};

bool contains(const cell& c, const cell& part)
{
    const auto* text = std::get_if<std::string>(&c);
    return text != nullptr && text->find(std::get<std::string>(part)) != std::string::npos;
}

bool is_empty(const cell& c)
{
    const auto* text = std::get_if<std::string>(&c);
    return c.index() == 0 || (text != nullptr && text->empty());
}

bool matches(const bound_condition& c, const row& r)
{
    const cell& it = r[c.column];
    if (c.compares_with_empty)
    {
        return is_empty(it) == (c.op == comparison::equal);
    }
    const auto order = compare(it, c.operand);
    switch (c.op)
    {
    case comparison::equal:
        return std::is_eq(order);
    case comparison::not_equal:
        return std::is_neq(order);
    case comparison::less:
        return std::is_lt(order);
    case comparison::less_or_equal:
        return std::is_lteq(order);
    case comparison::greater:
        return std::is_gt(order);
    case comparison::greater_or_equal:
        return std::is_gteq(order);
    case comparison::contains:
        return contains(it, c.operand);
    }
    return false;
}

bool is_equality(comparison op)
{
    return op == comparison::equal || op == comparison::not_equal;
}

/// \return the reason why \p op cannot be applied to a column of \p kind, or an empty string.
std::string comparison_error(value_kind kind, comparison op)
{
    if (op == comparison::contains && kind != value_kind::text)
    {
        return "'~' is for texts only";
    }
    if (kind == value_kind::boolean && !is_equality(op))
    {
        return "true and false have no order";
    }
    return {};
}

std::vector<bound_condition> bind(
    const table& t, const conditions& where, const std::string& document, core::findings& found)
{
    std::vector<bound_condition> bound;
    for (const auto& it : where)
    {
        const std::size_t i = find_column(t, it.field, document, found);
        if (i == t.columns.size())
        {
            continue;
        }
        const auto kind = t.columns[i].kind;
        const bool compares_with_empty = it.operand.text.empty() && is_equality(it.op);
        const cell operand = read_cell(kind, it.operand.text);
        auto wrong = comparison_error(kind, it.op);
        if (wrong.empty() && !compares_with_empty && operand.index() == 0)
        {
            wrong = quoted_excerpt(it.field.text) + " is " + describe_kind(kind) + ", not " +
                    quoted_excerpt(it.operand.text);
        }
        if (!wrong.empty())
        {
            found.push_back(finding_at(it.operand.at, document, wrong));
        }
        bound.push_back({i, it.op, operand, compares_with_empty});
    }
    return bound;
}

std::vector<std::size_t> matching_rows(const table& t, const std::vector<bound_condition>& where)
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < t.rows.size(); ++i)
    {
        const bool all_hold = std::all_of(
            where.begin(), where.end(), [&](const auto& it) { return matches(it, t.rows[i]); });
        if (all_hold)
        {
            all.push_back(i);
        }
    }
    return all;
}

void sort(std::vector<std::size_t>& rows, const table& t, std::size_t by, bool descending)
{
    std::stable_sort(rows.begin(),
        rows.end(),
        [&](std::size_t a, std::size_t b)
        {
            const cell& x = t.rows[a][by];
            const cell& y = t.rows[b][by];
            if (x.index() == 0 || y.index() == 0)
            {
                return x.index() != 0 && y.index() == 0;
            }
            return std::is_lt(descending ? compare(y, x) : compare(x, y));
        });
}

} // namespace

row_selection select_rows(const table& t, const conditions& where, const std::string& document)
{
    core::findings found;
    const auto bound = bind(t, where, document, found);
    if (!found.empty())
    {
        return found;
    }
    return matching_rows(t, bound);
}

std::variant<table, core::findings> evaluate(
    const show_statement& query, const table& t, const std::string& document)
{
    core::findings found;
    const auto bound = bind(t, query.where, document, found);
    const std::size_t by =
        query.order ? find_column(t, query.order->field, document, found) : t.columns.size();
    if (!found.empty())
    {
        return found;
    }
    auto rows = matching_rows(t, bound);
    if (query.order)
    {
        sort(rows, t, by, query.order->descending);
    }
    const auto max_rows = static_cast<std::uint64_t>(query.limit.value_or(INT64_MAX));
    rows.resize(std::min<std::uint64_t>(rows.size(), max_rows));
    table to{t.columns, {}};
    for (const auto it : rows)
    {
        to.rows.push_back(t.rows[it]);
    }
    return to;
}

} // namespace camphorhitch::language
