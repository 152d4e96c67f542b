#include "tree_builder.hpp"

#include <algorithm>
#include <limits>

namespace camphorhitch::checked_json
{

namespace
{

constexpr std::size_t max_duplicate_findings = 20;

/// \return nlohmann's message without its number and prefix, which repeat the position. Bytes that
/// are not ASCII are replaced: the message quotes bytes that are not valid UTF-8, and encoding such
/// a finding as JSON would fail.
std::string strip_message(const std::string& text)
{
    std::string out = text.substr(text.find("] ") + 2);
    if (out.rfind("parse error", 0) == 0)
    {
        out.erase(0, out.find(": ") + 2);
    }
    const auto is_ascii = [](char c)
    {
        return static_cast<unsigned char>(c) < 0x80;
    };
    std::replace_if(
        out.begin(), out.end(), [&](char c) { return !is_ascii(c); }, '?');
    return out;
}

} // namespace

tree_builder::tree_builder(document& d, text_cursor& cursor, const parse_limits& limits)
    : document_(d), cursor_(cursor), limits_(limits)
{
}

bool tree_builder::null()
{
    return add(std::monostate{});
}

bool tree_builder::boolean(bool v)
{
    return add(v);
}

bool tree_builder::number_integer(number_integer_t v)
{
    return add(std::int64_t{v});
}

bool tree_builder::number_unsigned(number_unsigned_t v)
{
    if (v <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
    {
        return add(static_cast<std::int64_t>(v));
    }
    return add(std::uint64_t{v});
}

bool tree_builder::number_float(number_float_t v, const string_t&)
{
    return add(double{v});
}

bool tree_builder::string(string_t& v)
{
    return add(std::move(v));
}

bool tree_builder::binary(binary_t&)
{
    return stop("binary values are not JSON text");
}

bool tree_builder::start_object(std::size_t)
{
    return open(object{});
}

bool tree_builder::key(string_t& v)
{
    stack_.back().key = std::move(v);
    stack_.back().key_position = cursor_.take_token();
    return true;
}

bool tree_builder::end_object()
{
    report_duplicate_keys(std::get<object>(stack_.back().it.value));
    return close();
}

bool tree_builder::start_array(std::size_t)
{
    return open(array{});
}

bool tree_builder::end_array()
{
    return close();
}

bool tree_builder::parse_error(
    std::size_t, const std::string&, const nlohmann::detail::exception& ex)
{
    return stop(printable_excerpt(strip_message(ex.what())));
}

/// The limit on depth bounds recursion: functions that walk the tree are recursive, and input that
/// is nested deeply enough would overflow the stack.
bool tree_builder::open(node::content empty)
{
    if (stack_.size() >= limits_.depth)
    {
        return stop("nested deeper than " + std::to_string(limits_.depth));
    }
    if (++values_ > limits_.values)
    {
        return stop("more than " + std::to_string(limits_.values) + " values");
    }
    const position at = cursor_.take_token();
    stack_.push_back({{std::move(empty), at.line, at.column}, {}, {}});
    return true;
}

bool tree_builder::close()
{
    cursor_.take_token();
    node it = std::move(stack_.back().it);
    stack_.pop_back();
    attach(std::move(it));
    return true;
}

bool tree_builder::add(node::content value)
{
    if (++values_ > limits_.values)
    {
        return stop("more than " + std::to_string(limits_.values) + " values");
    }
    const position at = cursor_.take_token();
    attach({std::move(value), at.line, at.column});
    return true;
}

void tree_builder::attach(node it)
{
    if (stack_.empty())
    {
        document_.root = std::move(it);
        return;
    }
    open_value& parent = stack_.back();
    if (auto* list = std::get_if<array>(&parent.it.value))
    {
        list->push_back(std::move(it));
        return;
    }
    std::get<object>(parent.it.value)
        .push_back({std::move(parent.key),
            std::move(it),
            parent.key_position.line,
            parent.key_position.column});
}

bool tree_builder::stop(const std::string& text)
{
    const position at = cursor_.current_position();
    fatal_.push_back({{document_.name, pointer(), at.line, at.column}, text, {}});
    return false;
}

/// Reports duplicate keys. Parsers differ in which of the values they use, so that a value checked
/// by one parser might not be the value used by another.
void tree_builder::report_duplicate_keys(const object& members)
{
    std::vector<std::size_t> order(members.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    std::stable_sort(order.begin(),
        order.end(),
        [&](std::size_t a, std::size_t b) { return members[a].key < members[b].key; });
    for (std::size_t i = 1; i < order.size(); ++i)
    {
        const member& it = members[order[i]];
        if (it.key != members[order[i - 1]].key)
        {
            continue;
        }
        if (document_.duplicate_keys.size() >= max_duplicate_findings)
        {
            return;
        }
        document_.duplicate_keys.push_back(
            {{document_.name, pointer() + '/' + pointer_token(it.key), it.line, it.column},
                "key stands twice",
                {}});
    }
}

/// \return the JSON pointer of the innermost open value.
std::string tree_builder::pointer() const
{
    std::string text;
    for (std::size_t i = 0; i + 1 < stack_.size(); ++i)
    {
        const auto* list = std::get_if<array>(&stack_[i].it.value);
        text += '/';
        text += list != nullptr ? std::to_string(list->size()) : pointer_token(stack_[i].key);
    }
    return text;
}

} // namespace camphorhitch::checked_json
