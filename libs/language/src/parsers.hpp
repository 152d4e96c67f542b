/// \file
/// Basic parsers of which the grammar is composed. Only the grammar includes this file, because
/// Boost.Spirit is slow to compile.
#pragma once

#include "core/names.hpp"
#include "language/statements.hpp"
#include "source.hpp"

#include <boost/spirit/home/x3.hpp>
#include <optional>
#include <string>
#include <utility>

// Name of a compound parser in Spirit's expectation failures: that of its most descriptive part.
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

namespace x3 = boost::spirit::x3;

/// Tag under which the parser context holds the source.
struct source_tag;

/// Base of parsers that call Derived::read(source, first), which returns a value, or nothing when
/// the parser does not match.
template <class Derived, class Value>
struct source_parser : x3::parser<Derived>
{
    using attribute_type = Value;
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
        auto read = this->derived().read(text, first);
        if (read)
        {
            x3::traits::move_to(*read, to);
        }
        return read.has_value();
    }
};

/// Consumes nothing and returns the position of the next input.
struct current_position_parser : source_parser<current_position_parser, position>
{
    static std::optional<position> read(const source& text, const char* first)
    {
        return text.position_of(first);
    }
};

/// Consumes an object in braces. Braces inside quotes are ignored.
struct braced_object_parser : source_parser<braced_object_parser, std::string>
{
    static std::optional<std::string> read(const source& text, const char*& first)
    {
        const bool is_open = first != text.end() && *first == '{';
        const char* after = is_open ? text.end_of_braces(first) : nullptr;
        if (after == nullptr)
        {
            return std::nullopt;
        }
        return std::string(std::exchange(first, after), after);
    }
};

/// A character that a word may contain without quotes.
struct word_char_parser : x3::char_parser<word_char_parser>
{
    using attribute_type = char;
    static constexpr bool has_attribute = true;

    template <class Context>
    bool test(char c, const Context&) const
    {
        return is_word_char(c);
    }
};

const current_position_parser current_position{};
const braced_object_parser braced_object{};
const word_char_parser word_char{};

const auto blank = x3::char_(" \t\r");
const auto escape = '\\' >> (x3::char_("\"\\") | (x3::lit('n') >> x3::attr('\n')));
const x3::rule<struct closing_quote_id> closing_quote{"a closing quote"};
const auto closing_quote_def = x3::lit('"');
BOOST_SPIRIT_DEFINE(closing_quote)
const x3::rule<struct word_id, std::string> word{"a word"};
const auto word_def = x3::lexeme[+word_char];
BOOST_SPIRIT_DEFINE(word)
const x3::rule<struct quoted_id, std::string> quoted{"a text in quotes"};
const auto quoted_def =
    x3::lexeme['"' >> *(escape | (x3::char_ - x3::char_("\"\\\n"))) > closing_quote];
BOOST_SPIRIT_DEFINE(quoted)

/// A complete word. \p shown is its name in findings.
auto keyword(const char* text, const char* shown)
{
    return x3::rule<struct keyword_id>{shown} = x3::lexeme[x3::lit(text) >> !word_char];
}

auto symbol(const char* text, const char* shown)
{
    return x3::rule<struct symbol_id>{shown} = x3::lit(text);
}

/// One of the names in \p table, as a complete word.
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

// ---- actions that store the attribute in a member of the rule's value ----

template <class Member>
auto assign_to(Member member)
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
auto set_flag(Member member)
{
    return [member](auto& context)
    {
        x3::_val(context).*member = true;
    };
}

/// Converts the word by \p read. The parser fails when \p read returns nothing.
template <class Read>
auto convert_with(Read read)
{
    return [read](auto& context)
    {
        const auto n = read(x3::_attr(context));
        x3::_pass(context) = n.has_value();
        x3::_val(context) = n.value_or(std::decay_t<decltype(*n)>{});
    };
}

} // namespace camphorhitch::language
