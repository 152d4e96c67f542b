#include "checked_json/reader.hpp"

#include <algorithm>

namespace camphorhitch::checked_json
{

namespace
{

constexpr std::size_t max_findings = 100;

template <class T>
std::string number_text(T v)
{
    std::string text = std::to_string(v);
    if constexpr (std::is_floating_point_v<T>)
    {
        text.erase(text.find_last_not_of('0') + 1);
        text.erase(text.find_last_not_of('.') + 1);
    }
    return text;
}

/// Reports a value outside the range.
/// \return whether \p v is in the range.
template <class T>
bool in_range(const value& at, T v, T lowest, T highest, const char* unit)
{
    if (v < lowest)
    {
        add_finding(at, "must be at least " + number_text(lowest) + unit);
    }
    else if (v > highest)
    {
        add_finding(at, "must be at most " + number_text(highest) + unit);
    }
    return v >= lowest && v <= highest;
}

} // namespace

report::report(std::string document, strictness mode) : document_(std::move(document)), mode_(mode)
{
}

void report::add(core::finding it)
{
    if (accepts_more())
    {
        found_.push_back(std::move(it));
        return;
    }
    if (found_.size() == max_findings)
    {
        found_.push_back({{document_, {}, 0, 0}, "has more findings than are shown here", {}});
    }
}

bool report::accepts_more() const
{
    return found_.size() < max_findings;
}

void report_type(const value& at, const char* wanted)
{
    static constexpr const char* names[] = {"null",
        "true or false",
        "a number",
        "a number above 2^63",
        "a floating-point number",
        "a text",
        "a list",
        "an object"};
    add_finding(at, std::string{"must be "} + wanted + ", is " + names[at.it->value.index()]);
}

std::string pointer_of(const value& at)
{
    if (at.parent == nullptr)
    {
        return {};
    }
    const bool in_list = std::holds_alternative<array>(at.parent->it->value);
    return pointer_of(*at.parent) + '/' +
           (in_list ? std::to_string(at.index) : pointer_token(at.key));
}

void add_finding(const value& at, std::string text, std::string suggestion)
{
    if (!at.found->accepts_more())
    {
        at.found->add({}); // dropped, so the pointer need not be composed
        return;
    }
    const core::place where{at.found->document(), pointer_of(at), at.it->line, at.it->column};
    at.found->add({where, std::move(text), std::move(suggestion)});
}

void read(const value& at, bool& out)
{
    const auto* v = std::get_if<bool>(&at.it->value);
    if (v == nullptr)
    {
        report_type(at, "true or false");
        return;
    }
    out = *v;
}

void read(const value& at, double& out, const real_range& range)
{
    const auto& content = at.it->value;
    double v = 0;
    if (const auto* real = std::get_if<double>(&content))
    {
        v = *real;
    }
    else if (const auto* whole = std::get_if<std::int64_t>(&content))
    {
        v = static_cast<double>(*whole);
    }
    else if (const auto* large = std::get_if<std::uint64_t>(&content))
    {
        v = static_cast<double>(*large);
    }
    else
    {
        report_type(at, "a number");
        return;
    }
    if (in_range(at, v, range.lowest, range.highest, ""))
    {
        out = v;
    }
}

void read(const value& at, std::string& out, const text_size& size)
{
    const std::string* text = read_text(at);
    if (text == nullptr)
    {
        return;
    }
    if (text->size() < size.min_bytes && text->empty())
    {
        add_finding(at, "must not be empty");
    }
    else if (text->size() < size.min_bytes)
    {
        add_finding(at, "must have at least " + std::to_string(size.min_bytes) + " bytes");
    }
    else if (text->size() > size.max_bytes)
    {
        add_finding(at, "must have at most " + std::to_string(size.max_bytes) + " bytes");
    }
    else
    {
        out = *text;
    }
}

void read(const value& at, std::string& out, text_check check)
{
    const std::string* text = read_text(at);
    if (text == nullptr)
    {
        return;
    }
    std::string wrong = check(*text);
    if (!wrong.empty())
    {
        add_finding(at, std::move(wrong));
        return;
    }
    out = *text;
}

void read(const value& at, core::millis& out, const millis_range& range)
{
    const auto* v = std::get_if<std::int64_t>(&at.it->value);
    if (v == nullptr)
    {
        report_type(at, "a whole number of milliseconds");
        return;
    }
    if (in_range(at,
            *v,
            std::int64_t{range.shortest.count()},
            std::int64_t{range.longest.count()},
            " ms"))
    {
        out = core::millis{*v};
    }
}

std::optional<std::int64_t> read_integer(const value& at, const int_range& range)
{
    const auto* v = std::get_if<std::int64_t>(&at.it->value);
    if (v == nullptr)
    {
        report_type(at, "a whole number");
        return std::nullopt;
    }
    return in_range(at, *v, range.lowest, range.highest, "") ? std::optional{*v} : std::nullopt;
}

std::optional<std::uint64_t> read_unsigned(const value& at)
{
    if (const auto* large = std::get_if<std::uint64_t>(&at.it->value))
    {
        return *large;
    }
    const auto v = read_integer(at, int_range{});
    return v ? std::optional{static_cast<std::uint64_t>(*v)} : std::nullopt;
}

const array* read_array(const value& at)
{
    const auto* list = std::get_if<array>(&at.it->value);
    if (list == nullptr)
    {
        report_type(at, "a list");
    }
    return list;
}

const std::string* read_text(const value& at)
{
    const auto* text = std::get_if<std::string>(&at.it->value);
    if (text == nullptr)
    {
        report_type(at, "a text");
    }
    return text;
}

void report_too_few(const value& at, std::size_t min_count)
{
    const auto* list = std::get_if<array>(&at.it->value);
    if (list != nullptr && list->size() < min_count)
    {
        add_finding(at, "must name at least " + std::to_string(min_count));
    }
}

void report_duplicates(
    const value& at, const std::vector<std::string_view>& texts, std::string_view key)
{
    std::vector<std::size_t> order(texts.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    std::stable_sort(order.begin(),
        order.end(),
        [&](std::size_t a, std::size_t b) { return texts[a] < texts[b]; });
    for (std::size_t i = 1; i < order.size() && at.found->accepts_more(); ++i)
    {
        const auto text = texts[order[i]];
        if (text.empty() || text != texts[order[i - 1]])
        {
            continue; // reading has already reported an empty text
        }
        const std::size_t index = order[i];
        const node& element = std::get<array>(at.it->value)[index];
        const std::string what = key.empty() ? "'" : std::string{key} + " '";
        add_finding({&element, at.found, &at, {}, index},
            what + printable_excerpt(text) + "' stands twice in the list");
    }
}

} // namespace camphorhitch::checked_json
