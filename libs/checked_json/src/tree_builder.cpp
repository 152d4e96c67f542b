#include "tree_builder.hpp"

#include <algorithm>
#include <limits>

namespace camphorhitch::checked_json
{

namespace
{

constexpr std::size_t most_duplicate_findings = 20;

/// nlohmann's text without its number and prefix, which repeat the place, and in ASCII: it quotes
/// the bytes that were no UTF-8, and whoever shows the finding as JSON would fail on them.
std::string bare_message(const std::string& text)
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

tree_builder::tree_builder(document& d, text_cursor& cursor, const bounds& most)
    : document_(d), cursor_(cursor), most_(most)
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
    stack_.back().key_place = cursor_.take_token();
    return true;
}

bool tree_builder::end_object()
{
    find_duplicate_keys(std::get<object>(stack_.back().it.value));
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
    return stop(shown(bare_message(ex.what())));
}

/// Nested text costs stack in whoever walks the tree: each walker recurses, and deep enough input
/// would end the process. The bound on depth keeps every walk short.
bool tree_builder::open(node::content empty)
{
    if (stack_.size() >= most_.depth)
    {
        return stop("nested deeper than " + std::to_string(most_.depth));
    }
    if (++values_ > most_.values)
    {
        return stop("more than " + std::to_string(most_.values) + " values");
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
    if (++values_ > most_.values)
    {
        return stop("more than " + std::to_string(most_.values) + " values");
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
        .push_back(
            {std::move(parent.key), std::move(it), parent.key_place.line, parent.key_place.column});
}

bool tree_builder::stop(const std::string& text)
{
    const position at = cursor_.here();
    fatal_.push_back({{document_.name, pointer(), at.line, at.column}, text, {}});
    return false;
}

/// Two values under one key: each reader of the text may take another one of them, so what was
/// checked by one is not what is used by the next.
void tree_builder::find_duplicate_keys(const object& members)
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
        if (document_.found.size() >= most_duplicate_findings)
        {
            return;
        }
        document_.found.push_back(
            {{document_.name, pointer() + '/' + pointer_token(it.key), it.line, it.column},
                "key stands twice",
                {}});
    }
}

/// \return the pointer of the innermost open value.
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
