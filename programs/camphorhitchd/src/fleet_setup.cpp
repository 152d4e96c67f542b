#include "fleet_setup.hpp"

#include "fleet/pool_rules.hpp"
#include "model/codec.hpp"
#include "model/keys.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace camphorhitch::daemon
{

namespace
{

using json = nlohmann::json;

constexpr const char* document_name = "apply";

struct setup_file
{
    std::optional<model::configuration> config;
    std::vector<model::pool_document> pools;
};

/// Adds the findings of one part of the file. Their pointers start at that part, so \p pointer, the
/// part's own position, is prepended.
void append_findings(core::findings from, const std::string& pointer, core::findings& all)
{
    for (auto& it : from)
    {
        it.where.pointer = pointer + it.where.pointer;
        it.where.line = 0; // line numbers of the part differ from those of the file
        it.where.column = 0;
        all.push_back(std::move(it));
    }
}

void read_config(const json& parsed, setup_file& out, core::findings& findings)
{
    auto decoded = model::decode_configuration(
        parsed["configuration"].dump(), document_name, model::strictness::strict);
    if (auto* it = std::get_if<core::findings>(&decoded))
    {
        append_findings(*it, "/configuration", findings);
        return;
    }
    out.config = std::get<model::configuration>(std::move(decoded));
    append_findings(model::check(*out.config, document_name), "/configuration", findings);
}

void read_pools(const json& parsed, setup_file& out, core::findings& findings)
{
    std::size_t i = 0;
    for (const auto& one : parsed["pools"])
    {
        auto decoded = model::decode_pool(one.dump(), document_name, model::strictness::strict);
        if (auto* it = std::get_if<core::findings>(&decoded))
        {
            append_findings(*it, "/pools/" + std::to_string(i), findings);
        }
        else
        {
            out.pools.push_back(std::get<model::pool_document>(std::move(decoded)));
        }
        ++i;
    }
}

std::variant<setup_file, core::findings> read_file(const std::string& text)
{
    const auto parsed = json::parse(text, nullptr, false);
    core::findings findings;
    if (!parsed.is_object())
    {
        findings.push_back({{document_name, "", 0, 0}, "must be a JSON object", ""});
        return findings;
    }
    setup_file out;
    for (const auto& it : parsed.items())
    {
        if (it.key() != "configuration" && it.key() != "pools")
        {
            findings.push_back({{document_name, "/" + it.key(), 0, 0},
                "unknown key",
                core::nearest_name(it.key(), {"configuration", "pools"})});
        }
    }
    if (parsed.contains("configuration"))
    {
        read_config(parsed, out, findings);
    }
    if (parsed.contains("pools") && parsed["pools"].is_array())
    {
        read_pools(parsed, out, findings);
    }
    if (!findings.empty())
    {
        return findings;
    }
    return out;
}

statement_result failure_result(const core::error& ec)
{
    return {false, ec.code, ec.message + '\n', "null"};
}

} // namespace

struct fleet_setup::work
{
    setup_file file;
    std::string command;
    callback done;
    std::vector<statement_result> results;
};

fleet_setup::fleet_setup(context& c, service_refs services) : context_(c), services_(services)
{
}

void fleet_setup::apply(const std::string& text, const std::string& command, callback done)
{
    auto read = read_file(text);
    if (const auto* findings = std::get_if<core::findings>(&read))
    {
        done({{false, core::error_code::invalid, core::to_text(*findings), "null"}});
        return;
    }
    auto w = std::make_shared<work>();
    w->file = std::get<setup_file>(std::move(read));
    w->command = command;
    w->done = std::move(done);
    if (!w->file.config)
    {
        add_hosts(w, 0);
        return;
    }
    services_.config.change(
        command,
        [next = *w->file.config](model::configuration& c) -> core::result<core::done>
        {
            // A file with a version other than 0 applies only to that version; version 0 replaces
            // any version.
            if (next.version != 0 && next.version != c.version)
            {
                return core::error{core::error_code::conflict,
                    "the file is for version " + std::to_string(next.version) + ", but version " +
                        std::to_string(c.version) + " is in force"};
            }
            const auto version = c.version;
            const auto commands = c.commands;
            c = next;
            c.version = version;
            c.commands = commands;
            return core::done{};
        },
        [this, w](const core::result<std::int64_t>& end)
        {
            if (!core::is_ok(end))
            {
                w->done({failure_result(core::failure(end))});
                return;
            }
            const auto version = std::to_string(core::value(end));
            w->results.push_back({true, {}, "configuration version " + version + '\n', version});
            add_hosts(w, 0);
        });
}

/// Adds the hosts pool by pool, with one write per pool; a repeat adds only the missing hosts.
void fleet_setup::add_hosts(const std::shared_ptr<work>& w, std::size_t next)
{
    if (next == w->file.pools.size())
    {
        w->done(w->results);
        return;
    }
    const auto& wanted = w->file.pools[next];
    update_document(
        context_.document_updater(),
        model::keys::pools + wanted.pool,
        [this, w, wanted](const std::string* current) -> change_result
        {
            model::pool_document document;
            document.pool = wanted.pool;
            if (current != nullptr)
            {
                auto decoded =
                    model::decode_pool(*current, wanted.pool, model::strictness::lenient);
                if (const auto* findings = std::get_if<core::findings>(&decoded))
                {
                    return core::error{core::error_code::unavailable, core::to_text(*findings)};
                }
                document = std::get<model::pool_document>(std::move(decoded));
            }
            bool changed = false;
            for (const auto& host : wanted.hosts)
            {
                const auto id = w->command + "/" + host.id;
                const auto what = fleet::apply(document,
                    fleet::add_request{host, id},
                    {services_.config.current(), context_.scheduler.wall_now()});
                if (!core::is_ok(what))
                {
                    return core::failure(what);
                }
                changed = changed || core::value(what).changed;
            }
            return changed ? std::optional<std::string>{model::encode(document)}
                           : std::optional<std::string>{};
        },
        [this, w, next, wanted](const core::result<core::done>& end)
        {
            if (core::is_ok(end))
            {
                const auto n = std::to_string(wanted.hosts.size());
                w->results.push_back({true, {}, "pool " + wanted.pool + ": " + n + " hosts\n", n});
            }
            else
            {
                w->results.push_back(failure_result(core::failure(end)));
            }
            add_hosts(w, next + 1);
        });
}

} // namespace camphorhitch::daemon
