#include "checked_json/reader.hpp"

#include <algorithm>

namespace camphorhitch::checked_json
{

namespace
{

/// JSON has no comments; files contain them as the value of this key.
constexpr std::string_view comment_key = "//";
constexpr std::size_t max_suggestion_key_bytes = 64; ///< the search takes quadratic time

} // namespace

object_reader::object_reader(const value& at)
    : at_(at), members_(std::get_if<object>(&at.it->value))
{
    if (members_ == nullptr)
    {
        report_type(at, "an object");
    }
}

const node* object_reader::find_key(std::string_view key)
{
    known_.push_back(key);
    if (members_ == nullptr)
    {
        return nullptr;
    }
    for (const auto& it : *members_)
    {
        if (it.key == key)
        {
            return &it.value;
        }
    }
    return nullptr;
}

value object_reader::child(std::string_view key, const node& it) const
{
    return {&it, at_.found, &at_, key, 0};
}

void object_reader::report_missing(std::string_view key)
{
    if (members_ != nullptr)
    {
        add_finding(at_, "lacks the key '" + std::string{key} + "'");
    }
}

void object_reader::finish()
{
    if (members_ == nullptr || at_.found->mode() == strictness::lenient)
    {
        return;
    }
    const std::vector<std::string> names{known_.begin(), known_.end()};
    for (const auto& it : *members_)
    {
        const bool is_known = std::find(known_.begin(), known_.end(), it.key) != known_.end();
        if (is_known || it.key == comment_key)
        {
            continue;
        }
        if (!at_.found->accepts_more())
        {
            at_.found->add({});
            return;
        }
        const bool is_short = it.key.size() <= max_suggestion_key_bytes;
        const core::place where{
            at_.found->document(), pointer_of(child(it.key, it.value)), it.line, it.column};
        at_.found->add(
            {where, "unknown key", is_short ? core::nearest_name(it.key, names) : std::string{}});
    }
}

} // namespace camphorhitch::checked_json
