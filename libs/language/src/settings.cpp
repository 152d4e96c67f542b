#include "language/settings.hpp"

#include "finding.hpp"

#include <limits>
#include <set>
#include <variant>

namespace camphorhitch::language
{

namespace
{

/// Pointer to a member of the configuration that can be assigned.
using member = std::variant<int*, double*, bool*, core::millis*, std::string*, model::policy_kind*>;

/// Name of a setting and its member in an object of type Owner.
template <class Owner>
struct setting_entry
{
    const char* name;
    member (*member_of)(Owner&);
};

#define CAMPHORHITCH_SETTING(owner, path)                                                          \
    setting_entry<model::owner>                                                                    \
    {                                                                                              \
#path, [](model::owner & it) -> member {                                                   \
            return &it.path;                                                                       \
        }                                                                                          \
    }

const std::vector<setting_entry<model::pool_config>> pool_entries = {
    CAMPHORHITCH_SETTING(pool_config, budget.absent),
    CAMPHORHITCH_SETTING(pool_config, budget.absent_per_zone),
    CAMPHORHITCH_SETTING(pool_config, policy),
    CAMPHORHITCH_SETTING(pool_config, spare),
    CAMPHORHITCH_SETTING(pool_config, size_class),
    CAMPHORHITCH_SETTING(pool_config, retry_ratio),
    CAMPHORHITCH_SETTING(pool_config, quick.queue),
    CAMPHORHITCH_SETTING(pool_config, quick.deadline),
    CAMPHORHITCH_SETTING(pool_config, quick.longest),
    CAMPHORHITCH_SETTING(pool_config, quick.reserved_slots),
    CAMPHORHITCH_SETTING(pool_config, normal.queue),
    CAMPHORHITCH_SETTING(pool_config, normal.deadline),
    CAMPHORHITCH_SETTING(pool_config, normal.longest),
    CAMPHORHITCH_SETTING(pool_config, normal.reserved_slots),
    CAMPHORHITCH_SETTING(pool_config, long_running.queue),
    CAMPHORHITCH_SETTING(pool_config, long_running.deadline),
    CAMPHORHITCH_SETTING(pool_config, long_running.longest),
    CAMPHORHITCH_SETTING(pool_config, long_running.reserved_slots),
};

const std::vector<setting_entry<model::policy_config>> policy_entries = {
    CAMPHORHITCH_SETTING(policy_config, kind),
    CAMPHORHITCH_SETTING(policy_config, canary),
    CAMPHORHITCH_SETTING(policy_config, growth),
    CAMPHORHITCH_SETTING(policy_config, largest_batch),
    CAMPHORHITCH_SETTING(policy_config, halt_after),
    CAMPHORHITCH_SETTING(policy_config, fixed_buffer),
    CAMPHORHITCH_SETTING(policy_config, return_timeout),
    CAMPHORHITCH_SETTING(policy_config, drain_timeout),
};

const std::vector<setting_entry<model::team_config>> team_entries = {
    CAMPHORHITCH_SETTING(team_config, processors),
    CAMPHORHITCH_SETTING(team_config, memory_gb),
    CAMPHORHITCH_SETTING(team_config, accelerators),
};

const std::vector<setting_entry<model::configuration>> config_entries = {
    CAMPHORHITCH_SETTING(configuration, key_memory),
    CAMPHORHITCH_SETTING(configuration, keys_per_slot),
    CAMPHORHITCH_SETTING(configuration, answer_kept_bytes),
};

#undef CAMPHORHITCH_SETTING

// ---- assignment of one value to a member; returns the error text, or an empty string ----

std::string type_error(value_kind kind, const value& v)
{
    return "takes " + describe_kind(kind) + ", not " + quoted_excerpt(v.text);
}

template <class Read, class To>
std::string assign_number(const std::optional<Read>& n, value_kind kind, const value& v, To& to)
{
    if (!n)
    {
        return type_error(kind, v);
    }
    if (*n < Read{})
    {
        return "must not be negative";
    }
    to = static_cast<To>(*n);
    return {};
}

std::string assign(const value& v, int& to)
{
    const auto n = read_integer(v.text);
    if (n && *n > std::numeric_limits<int>::max())
    {
        return "must be at most " + std::to_string(std::numeric_limits<int>::max());
    }
    return assign_number(n, value_kind::integer, v, to);
}

std::string assign(const value& v, double& to)
{
    return assign_number(read_number(v.text), value_kind::number, v, to);
}

std::string assign(const value& v, core::millis& to)
{
    return assign_number(read_duration(v.text), value_kind::duration, v, to);
}

std::string assign(const value& v, bool& to)
{
    const auto flag = read_boolean(v.text);
    to = flag.value_or(to);
    return flag ? std::string{} : type_error(value_kind::boolean, v);
}

std::string assign(const value& v, std::string& to)
{
    to = v.text;
    return {};
}

std::string assign(const value& v, model::policy_kind& to)
{
    const auto kind = core::value_of(model::policy_kind_names, v.text);
    to = kind.value_or(to);
    std::string names;
    for (const auto& it : model::policy_kind_names)
    {
        names += (names.empty() ? "" : ", ") + std::string(it.name);
    }
    return kind ? std::string{} : "takes one of " + names + ", not " + quoted_excerpt(v.text);
}

value_kind kind_of(const member& m)
{
    constexpr value_kind kinds[] = {value_kind::integer,
        value_kind::number,
        value_kind::boolean,
        value_kind::duration,
        value_kind::text,
        value_kind::text};
    return kinds[m.index()];
}

// ---- settings of one owner ----

template <class Owner>
std::vector<setting> list_settings(const std::vector<setting_entry<Owner>>& entries)
{
    Owner any;
    std::vector<setting> all;
    all.reserve(entries.size());
    for (const auto& it : entries)
    {
        all.push_back({it.name, kind_of(it.member_of(any))});
    }
    return all;
}

template <class Owner>
const setting_entry<Owner>* find_entry(
    const std::vector<setting_entry<Owner>>& entries, const std::string& field)
{
    for (const auto& it : entries)
    {
        if (field == it.name)
        {
            return &it;
        }
    }
    return nullptr;
}

template <class Owner>
core::finding unknown_setting_finding(const set_statement& s,
    const std::vector<setting_entry<Owner>>& entries,
    const name& field,
    const std::string& document)
{
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (const auto& it : entries)
    {
        names.emplace_back(it.name);
    }
    const std::string owner(core::name_of(setting_owner_names, s.owner));
    return finding_at(field.at,
        document,
        quoted_excerpt(field.text) + " is no " + owner + " setting",
        core::nearest_name(field.text, names));
}

core::finding setting_finding(
    const name& field, position at, const std::string& wrong, const std::string& document)
{
    return finding_at(at, document, quoted_excerpt(field.text) + ' ' + wrong);
}

template <class Owner>
core::findings assign_settings(const set_statement& s,
    const std::vector<setting_entry<Owner>>& entries,
    Owner& owner,
    const std::string& document)
{
    core::findings found;
    std::set<std::string> assigned;
    for (const auto& it : s.assignments)
    {
        const auto* known = find_entry(entries, it.field.text);
        if (known == nullptr)
        {
            found.push_back(unknown_setting_finding(s, entries, it.field, document));
            continue;
        }
        if (!assigned.insert(it.field.text).second)
        {
            found.push_back(setting_finding(it.field, it.field.at, "is assigned twice", document));
        }
        const auto wrong = std::visit(
            [&it](auto* target) { return assign(it.new_value, *target); }, known->member_of(owner));
        if (!wrong.empty())
        {
            found.push_back(setting_finding(it.field, it.new_value.at, wrong, document));
        }
    }
    return found;
}

template <class Owner>
core::findings check_settings(const set_statement& s,
    const std::vector<setting_entry<Owner>>& entries,
    const std::string& document)
{
    Owner any;
    return assign_settings(s, entries, any, document);
}

template <class Owner>
core::findings apply_settings(const set_statement& s,
    const std::vector<setting_entry<Owner>>& entries,
    std::vector<Owner>& owners,
    const std::string& document)
{
    std::vector<std::string> names;
    for (auto& it : owners)
    {
        if (it.name == s.owner_name.text)
        {
            Owner changed = it;
            auto found = assign_settings(s, entries, changed, document);
            it = found.empty() ? changed : it;
            return found;
        }
        names.push_back(it.name);
    }
    return {finding_at(s.owner_name.at,
        document,
        "there is no " + std::string(core::name_of(setting_owner_names, s.owner)) + ' ' +
            quoted_excerpt(s.owner_name.text),
        core::nearest_name(s.owner_name.text, names))};
}

/// Rejects a change of the policy of a pool that is in an experiment. The experiment sets the
/// policies of its pools and restores the earlier ones at its end. A policy that operators set
/// meanwhile would invalidate the comparison, and would then be overwritten.
core::findings check_experiment_policy(
    const set_statement& s, const model::configuration& c, const std::string& document)
{
    core::findings found;
    const auto* pool =
        s.owner == setting_owner::pool ? model::find_pool(c, s.owner_name.text) : nullptr;
    for (const auto& it : s.assignments)
    {
        if (pool != nullptr && !pool->experiment.empty() && it.field.text == "policy")
        {
            found.push_back(finding_at(it.field.at,
                document,
                "experiment " + quoted_excerpt(pool->experiment) + " chooses the policy of pool " +
                    quoted_excerpt(pool->name) + "; stop it first"));
        }
    }
    return found;
}

} // namespace

const std::vector<setting>& assignable_settings(setting_owner owner)
{
    static const std::vector<setting> all[] = {list_settings(pool_entries),
        list_settings(policy_entries),
        list_settings(team_entries),
        list_settings(config_entries)};
    return all[static_cast<std::size_t>(owner)];
}

core::findings check(const set_statement& s, const std::string& document)
{
    switch (s.owner)
    {
    case setting_owner::pool:
        return check_settings(s, pool_entries, document);
    case setting_owner::policy:
        return check_settings(s, policy_entries, document);
    case setting_owner::team:
        return check_settings(s, team_entries, document);
    case setting_owner::config:
        return check_settings(s, config_entries, document);
    }
    return {};
}

core::findings apply(const set_statement& s, model::configuration& c, const std::string& document)
{
    auto conflicts = check_experiment_policy(s, c, document);
    if (!conflicts.empty())
    {
        return conflicts;
    }
    switch (s.owner)
    {
    case setting_owner::pool:
        return apply_settings(s, pool_entries, c.pools, document);
    case setting_owner::policy:
        return apply_settings(s, policy_entries, c.policies, document);
    case setting_owner::team:
        return apply_settings(s, team_entries, c.teams, document);
    case setting_owner::config:
    {
        auto changed = c;
        auto found = assign_settings(s, config_entries, changed, document);
        c = found.empty() ? changed : c;
        return found;
    }
    }
    return {};
}

} // namespace camphorhitch::language
