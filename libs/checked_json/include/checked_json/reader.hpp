/// \file
/// Reads the keys of JSON objects into variables and collects all findings.
///
/// The keys of a record are described once, for reading and for writing, by a function template
/// `describe(Keys& keys, Record& r)` in the namespace of the record. It calls required(),
/// defaulted() and optional() of an object_reader or an object_writer.
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

/// Treatment of unknown keys.
enum class strictness
{
    strict, ///< unknown keys are findings, except the comment key "//"
    lenient ///< unknown keys are ignored, because a newer version may have written them
};

/// The findings of one document. Their number is bounded, because hostile text could cause one for
/// each byte.
class report
{
public:
    report(std::string document, strictness mode);

    void add(core::finding it);

    /// \return whether add() keeps the next finding. It drops findings beyond the bound.
    bool accepts_more() const;

    strictness mode() const
    {
        return mode_;
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
    strictness mode_;
    core::findings found_;
};

/// A value and its path from the root, as a linked list of its parents.
struct value
{
    const node* it = nullptr;
    report* found = nullptr;       ///< receives the findings
    const value* parent = nullptr; ///< null at the root
    std::string_view key;          ///< key of the value when its parent is an object
    std::size_t index = 0;         ///< index of the value when its parent is an array
};

/// \return the JSON pointer of \p at.
std::string pointer_of(const value& at);

/// Reports that the type of \p at is not \p wanted.
void report_type(const value& at, const char* wanted);

/// Adds a finding with \p text at the position of \p at.
void add_finding(const value& at, std::string text, std::string suggestion = {});

// The read() functions add a finding and leave \p out unchanged when the value is wrong.
void read(const value& at, bool& out);
void read(const value& at, double& out, const real_range& range = {});
void read(const value& at, std::string& out, const text_size& size = {});
void read(const value& at, std::string& out, text_check check);
void read(const value& at, core::millis& out, const millis_range& range = {});

/// \return the integer, or nothing after a finding about its type or range.
std::optional<std::int64_t> read_integer(const value& at, const int_range& range);
std::optional<std::uint64_t> read_unsigned(const value& at);

/// \return the elements of the array, or null after a finding about the type.
const array* read_array(const value& at);

/// Reports each element of the array \p at whose text occurs earlier in the array.
/// \param texts the texts of the elements, in their order.
/// \param key key of the text within the elements; empty when the elements are texts.
void report_duplicates(
    const value& at, const std::vector<std::string_view>& texts, std::string_view key);

/// Reports an array with fewer than \p min_count elements.
void report_too_few(const value& at, std::size_t min_count);

/// \return the text, or null after a finding about the type.
const std::string* read_text(const value& at);

/// Reads the keys of one object.
class object_reader
{
public:
    /// Reports when \p at is not an object. All keys are then absent, and no key is reported as
    /// missing.
    explicit object_reader(const value& at);

    /// Reads a key that must be present.
    template <class T, class... Rules>
    object_reader& required(std::string_view key, T& out, const Rules&... rules)
    {
        if (const node* it = find_key(key))
        {
            read(child(key, *it), out, rules...);
        }
        else
        {
            report_missing(key);
        }
        return *this;
    }

    /// Reads a key that may be absent; \p out then keeps its value. Writers always write the key,
    /// so that a later change of the default does not change stored documents.
    template <class T, class... Rules>
    object_reader& defaulted(std::string_view key, T& out, const Rules&... rules)
    {
        if (const node* it = find_key(key))
        {
            read(child(key, *it), out, rules...);
        }
        return *this;
    }

    /// Reads a key that may be absent and whose default is empty, zero, false or the first name.
    /// Writers omit the key when it has its default.
    template <class T, class... Rules>
    object_reader& optional(std::string_view key, T& out, const Rules&... rules)
    {
        return defaulted(key, out, rules...);
    }

    /// In strict mode, reports the keys that none of the calls above named. To be called last.
    void finish();

private:
    const node* find_key(std::string_view key);
    value child(std::string_view key, const node& it) const;
    void report_missing(std::string_view key);

    value at_;
    const object* members_ = nullptr;
    std::vector<std::string_view> known_;
};

template <std::integral Int>
void read(const value& at, Int& out, const int_range& range)
{
    if (const auto v = read_integer(at, range))
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

/// Reads a text that must be a name in \p table.
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
    const std::string word = printable_excerpt(*text);
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

/// A struct that is read and written by its describe().
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

/// Reads an array. An element that is wrong stays in the vector as T{} where its value could not be
/// read, so that indices agree with the text.
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

/// Reads an array of texts, each checked by \p check.
inline void read(const value& at, std::vector<std::string>& out, text_check check)
{
    read_list(at, out, check);
}

/// Reads an array of unique texts, each read by \p rules.
template <class... Rules>
void read(
    const value& at, std::vector<std::string>& out, const unique_texts& rule, const Rules&... rules)
{
    read_list(at, out, rules...);
    report_too_few(at, rule.min_count);
    report_duplicates(at, {out.begin(), out.end()}, {});
}

} // namespace camphorhitch::checked_json
