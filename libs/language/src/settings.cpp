#include "language/settings.hpp"

#include "finding.hpp"

#include <limits>
#include <set>
#include <variant>

namespace camphorhitch::language
{

namespace
{

/// A member of the configuration that can be assigned.
using member = std::variant<int*, double*, bool*, core::millis*, std::string*, model::policy_kind*>;

/// A setting's name and its member within an owner of type Owner.
template <class Owner>
struct entry
{
    const char* name;
    member (*of)(Owner&);
};

#define CAMPHORHITCH_SETTING(owner, path)                                                          \
    entry<model::owner>                                                                            \
    {                                                                                              \
#path, [](model::owner & it) -> member {                                                   \
            return &it.path;                                                                       \
        }                                                                                          \
    }

const std::vector<entry<model::pool_config>> pool_entries = {
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

const std::vector<entry<model::policy_config>> policy_entries = {
    CAMPHORHITCH_SETTING(policy_config, kind),
    CAMPHORHITCH_SETTING(policy_config, canary),
    CAMPHORHITCH_SETTING(policy_config, growth),
    CAMPHORHITCH_SETTING(policy_config, largest_batch),
    CAMPHORHITCH_SETTING(policy_config, halt_after),
    CAMPHORHITCH_SETTING(policy_config, fixed_buffer),
    CAMPHORHITCH_SETTING(policy_config, return_timeout),
    CAMPHORHITCH_SETTING(policy_config, drain_timeout),
};

const std::vector<entry<model::team_config>> team_entries = {
    CAMPHORHITCH_SETTING(team_config, processors),
    CAMPHORHITCH_SETTING(team_config, memory_gb),
    CAMPHORHITCH_SETTING(team_config, accelerators),
};

const std::vector<entry<model::configuration>> config_entries = {
    CAMPHORHITCH_SETTING(configuration, key_memory),
    CAMPHORHITCH_SETTING(configuration, keys_per_slot),
    CAMPHORHITCH_SETTING(configuration, answer_kept_bytes),
};

#undef CAMPHORHITCH_SETTING

// ---- reading one value into a member; \return what is wrong, or an empty string ----

std::string not_a(value_kind kind, const value& v)
{
    return "takes " + in_words(kind) + ", not " + cited(v.text);
}

template <class Read, class To>
std::string assign_number(const std::optional<Read>& n, value_kind kind, const value& v, To& to)
{
    if (!n)
    {
        return not_a(kind, v);
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
    const auto n = read_whole(v.text);
    if (n && *n > std::numeric_limits<int>::max())
    {
        return "must be at most " + std::to_string(std::numeric_limits<int>::max());
    }
    return assign_number(n, value_kind::whole, v, to);
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
    const auto truth = read_truth(v.text);
    to = truth.value_or(to);
    return truth ? std::string{} : not_a(value_kind::truth, v);
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
    return kind ? std::string{} : "takes one of " + names + ", not " + cited(v.text);
}

value_kind kind_of(const member& m)
{
    constexpr value_kind kinds[] = {value_kind::whole,
        value_kind::number,
        value_kind::truth,
        value_kind::duration,
        value_kind::text,
        value_kind::text};
    return kinds[m.index()];
}

// ---- one owner ----

template <class Owner>
std::vector<setting> list(const std::vector<entry<Owner>>& entries)
{
    Owner any;
    std::vector<setting> all;
    all.reserve(entries.size());
    for (const auto& it : entries)
    {
        all.push_back({it.name, kind_of(it.of(any))});
    }
    return all;
}

template <class Owner>
const entry<Owner>* find_entry(const std::vector<entry<Owner>>& entries, const std::string& field)
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
core::finding no_such_setting(const set_statement& s,
    const std::vector<entry<Owner>>& entries,
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
        cited(field.text) + " is no " + owner + " setting",
        core::nearest_name(field.text, names));
}

core::finding about(
    const name& field, position at, const std::string& wrong, const std::string& document)
{
    return finding_at(at, document, cited(field.text) + ' ' + wrong);
}

template <class Owner>
core::findings assign_all(const set_statement& s,
    const std::vector<entry<Owner>>& entries,
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
            found.push_back(no_such_setting(s, entries, it.field, document));
            continue;
        }
        if (!assigned.insert(it.field.text).second)
        {
            found.push_back(about(it.field, it.field.at, "is assigned twice", document));
        }
        const auto wrong =
            std::visit([&it](auto* target) { return assign(it.to, *target); }, known->of(owner));
        if (!wrong.empty())
        {
            found.push_back(about(it.field, it.to.at, wrong, document));
        }
    }
    return found;
}

template <class Owner>
core::findings check_one(
    const set_statement& s, const std::vector<entry<Owner>>& entries, const std::string& document)
{
    Owner any;
    return assign_all(s, entries, any, document);
}

template <class Owner>
core::findings apply_one(const set_statement& s,
    const std::vector<entry<Owner>>& entries,
    std::vector<Owner>& owners,
    const std::string& document)
{
    std::vector<std::string> names;
    for (auto& it : owners)
    {
        if (it.name == s.of.text)
        {
            Owner changed = it;
            auto found = assign_all(s, entries, changed, document);
            it = found.empty() ? changed : it;
            return found;
        }
        names.push_back(it.name);
    }
    return {finding_at(s.of.at,
        document,
        "there is no " + std::string(core::name_of(setting_owner_names, s.owner)) + ' ' +
            cited(s.of.text),
        core::nearest_name(s.of.text, names))};
}

/// An experiment gives its pools their policies and takes them back at its end. A policy that
/// operators chose meanwhile would spoil the comparison and then be lost.
core::findings check_experiment(
    const set_statement& s, const model::configuration& c, const std::string& document)
{
    core::findings found;
    const auto* pool = s.owner == setting_owner::pool ? model::find_pool(c, s.of.text) : nullptr;
    for (const auto& it : s.assignments)
    {
        if (pool != nullptr && !pool->experiment.empty() && it.field.text == "policy")
        {
            found.push_back(finding_at(it.field.at,
                document,
                "experiment " + cited(pool->experiment) + " chooses the policy of pool " +
                    cited(pool->name) + "; stop it first"));
        }
    }
    return found;
}

} // namespace

const std::vector<setting>& settings_of(setting_owner owner)
{
    static const std::vector<setting> all[] = {
        list(pool_entries), list(policy_entries), list(team_entries), list(config_entries)};
    return all[static_cast<std::size_t>(owner)];
}

core::findings check(const set_statement& s, const std::string& document)
{
    switch (s.owner)
    {
    case setting_owner::pool:
        return check_one(s, pool_entries, document);
    case setting_owner::policy:
        return check_one(s, policy_entries, document);
    case setting_owner::team:
        return check_one(s, team_entries, document);
    case setting_owner::config:
        return check_one(s, config_entries, document);
    }
    return {};
}

core::findings apply(const set_statement& s, model::configuration& c, const std::string& document)
{
    auto conflicts = check_experiment(s, c, document);
    if (!conflicts.empty())
    {
        return conflicts;
    }
    switch (s.owner)
    {
    case setting_owner::pool:
        return apply_one(s, pool_entries, c.pools, document);
    case setting_owner::policy:
        return apply_one(s, policy_entries, c.policies, document);
    case setting_owner::team:
        return apply_one(s, team_entries, c.teams, document);
    case setting_owner::config:
    {
        auto changed = c;
        auto found = assign_all(s, config_entries, changed, document);
        c = found.empty() ? changed : c;
        return found;
    }
    }
    return {};
}

} // namespace camphorhitch::language
