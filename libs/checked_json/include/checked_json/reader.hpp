/// \file
/// Reads the keys of JSON objects into variables and collects what is wrong with them.
///
/// A record describes its keys once, for reading and for writing, by a function template
/// `describe(Keys& keys, Record& r)` beside it that calls required(), defaulted() and optional()
/// of an object_reader or an object_writer.
#pragma once

#include "checked_json/document.hpp"
#include "checked_json/rules.hpp"
#include "core/names.hpp"

#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace camphorhitch::checked_json
{

enum class strictness
{
    strict, ///< unknown keys are findings, but for the comment key "//"
    lenient ///< unknown keys are ignored: a newer version may have written them
};

/// The findings of one document. Bounded, since hostile text could make one for each byte.
class report
{
public:
    report(std::string document, strictness how);

    void add(core::finding it);

    /// False when no further finding will be kept.
    bool has_room() const;

    strictness how() const
    {
        return how_;
    }

    const std::string& document() const
    {
        return document_;
    }

    const core::findings& found() const
    {
        return found_;
    }

private:
    std::string document_;
    strictness how_;
    core::findings found_;
};

/// One value and the way to it from the root.
struct value
{
    const node* it = nullptr;
    report* found = nullptr;
    const value* parent = nullptr; ///< null at the root
    std::string_view key;          ///< within the parent, when that is an object
    std::size_t index = 0;         ///< within the parent, when that is an array
};

/// \return the JSON pointer of \p at.
std::string pointer_of(const value& at);

/// Reports that \p at isn't \p wanted.
void report_type(const value& at, const char* wanted);

/// Reports \p text about \p at.
void add_finding(const value& at, std::string text, std::string suggestion = {});

void read(const value& at, bool& out);
void read(const value& at, double& out, const real_range& range = {});
void read(const value& at, std::string& out, const text_size& size = {});
void read(const value& at, std::string& out, text_check check);
void read(const value& at, core::millis& out, const millis_range& range = {});

/// \return the whole number within the range, or nothing after a finding.
std::optional<std::int64_t> read_whole(const value& at, const int_range& range);
std::optional<std::uint64_t> read_unsigned(const value& at);

/// \return the list's elements, or null after a finding.
const array* read_array(const value& at);
/// Reports each text that stands a second time; \p texts belong to the elements of \p at's list.
void report_duplicates(
    const value& at, const std::vector<std::string_view>& texts, std::string_view key);

/// Reports a list with fewer than \p least elements.
void report_too_few(const value& at, std::size_t least);

/// \return the text, or null after a finding.
const std::string* read_text(const value& at);

/// Reads the keys of one object.
class object_reader
{
public:
    /// Reports when \p at is no object; then all keys count as absent and none as missing.
    explicit object_reader(const value& at);

    /// A key that must be there.
    template <class T, class... Rules>
    object_reader& required(std::string_view key, T& out, const Rules&... rules)
    {
        if (const node* it = take(key))
        {
            read(child(key, *it), out, rules...);
        }
        else
        {
            report_missing(key);
        }
        return *this;
    }

    /// A key that may be absent; \p out keeps its value then. Writers always write it, so that a
    /// later change of the default changes no stored document.
    template <class T, class... Rules>
    object_reader& defaulted(std::string_view key, T& out, const Rules&... rules)
    {
        if (const node* it = take(key))
        {
            read(child(key, *it), out, rules...);
        }
        return *this;
    }

    /// A key that may be absent and whose default is empty, zero, false or the first name.
    /// Writers leave it out then.
    template <class T, class... Rules>
    object_reader& optional(std::string_view key, T& out, const Rules&... rules)
    {
        return defaulted(key, out, rules...);
    }

    /// Reports the keys that were not asked for (when strict). Call it last.
    void finish();

private:
    const node* take(std::string_view key);
    value child(std::string_view key, const node& it) const;
    void report_missing(std::string_view key);

    value at_;
    const object* members_ = nullptr;
    std::vector<std::string_view> known_;
};

template <std::integral Int>
void read(const value& at, Int& out, const int_range& range)
{
    if (const auto v = read_whole(at, range))
    {
        out = static_cast<Int>(*v);
    }
}

template <std::integral Int>
void read(const value& at, Int& out)
{
    if constexpr (std::is_same_v<Int, std::uint64_t>)
    {
        if (const auto v = read_unsigned(at))
        {
            out = *v;
        }
    }
    else
    {
        using limits = std::numeric_limits<Int>;
        read(at, out, int_range{limits::min(), limits::max()});
    }
}

/// Reads a name of \p table.
template <class E, std::size_t N>
void read(const value& at, E& out, const core::name_table<E, N>& table)
{
    const std::string* text = read_text(at);
    if (text == nullptr)
    {
        return;
    }
    if (const auto v = core::value_of(table, *text))
    {
        out = *v;
        return;
    }
    std::vector<std::string> names;
    std::string all;
    for (const auto& it : table)
    {
        names.emplace_back(it.name);
        all += (all.empty() ? "" : ", ") + names.back();
    }
    const std::string word = shown(*text);
    add_finding(at, "'" + word + "' is none of: " + all, core::nearest_name(word, names));
}

template <class T>
struct is_vector : std::false_type
{
};

template <class T>
struct is_vector<std::vector<T>> : std::true_type
{
};

template <class T>
concept record = std::is_class_v<T> && !std::is_same_v<T, std::string> &&
                 !std::is_same_v<T, core::millis> && !is_vector<T>::value;

/// Reads a record by its describe().
template <record T>
void read(const value& at, T& out)
{
    object_reader keys{at};
    describe(keys, out);
    keys.finish();
}

/// Reads a list; each element starts as T{} and stays in its place also when it is wrong.
template <class T, class... Rules>
void read_list(const value& at, std::vector<T>& out, const Rules&... rules)
{
    const array* list = read_array(at);
    if (list == nullptr)
    {
        return;
    }
    out.clear();
    out.reserve(list->size());
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        read(value{&(*list)[i], at.found, &at, {}, i}, out.emplace_back(), rules...);
    }
}

template <class T>
void read(const value& at, std::vector<T>& out)
{
    read_list(at, out);
}

template <class T>
void read(const value& at, std::vector<T>& out, const unique_by<T>& rule)
{
    read_list(at, out);
    std::vector<std::string_view> ids;
    ids.reserve(out.size());
    for (const auto& it : out)
    {
        ids.emplace_back(it.*rule.id);
    }
    report_duplicates(at, ids, rule.key);
}

/// Reads a list of texts, each with \p check.
inline void read(const value& at, std::vector<std::string>& out, text_check check)
{
    read_list(at, out, check);
}

/// Reads a list of texts that differ, each by \p rules.
template <class... Rules>
void read(
    const value& at, std::vector<std::string>& out, const unique_texts& rule, const Rules&... rules)
{
    read_list(at, out, rules...);
    report_too_few(at, rule.least);
    report_duplicates(at, {out.begin(), out.end()}, {});
}

} // namespace camphorhitch::checked_json
