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

constexpr const char* name = "apply";

struct setup_file
{
    std::optional<model::configuration> config;
    std::vector<model::pool_document> pools;
};

/// Findings of a part carry pointers from that part on; this puts the part's own place before them.
void take_findings(core::findings from, const std::string& pointer, core::findings& all)
{
    for (auto& it : from)
    {
        it.where.pointer = pointer + it.where.pointer;
        it.where.line = 0; // the part's lines are not the file's
        it.where.column = 0;
        all.push_back(std::move(it));
    }
}

void read_config(const json& parsed, setup_file& out, core::findings& wrong)
{
    auto decoded = model::decode_configuration(
        parsed["configuration"].dump(), name, model::strictness::strict);
    if (auto* it = std::get_if<core::findings>(&decoded))
    {
        take_findings(*it, "/configuration", wrong);
        return;
    }
    out.config = std::get<model::configuration>(std::move(decoded));
    take_findings(model::check(*out.config, name), "/configuration", wrong);
}

void read_pools(const json& parsed, setup_file& out, core::findings& wrong)
{
    std::size_t i = 0;
    for (const auto& one : parsed["pools"])
    {
        auto decoded = model::decode_pool(one.dump(), name, model::strictness::strict);
        if (auto* it = std::get_if<core::findings>(&decoded))
        {
            take_findings(*it, "/pools/" + std::to_string(i), wrong);
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
    core::findings wrong;
    if (!parsed.is_object())
    {
        wrong.push_back({{name, "", 0, 0}, "must be a JSON object", ""});
        return wrong;
    }
    setup_file out;
    for (const auto& it : parsed.items())
    {
        if (it.key() != "configuration" && it.key() != "pools")
        {
            wrong.push_back({{name, "/" + it.key(), 0, 0},
                "unknown key",
                core::nearest_name(it.key(), {"configuration", "pools"})});
        }
    }
    if (parsed.contains("configuration"))
    {
        read_config(parsed, out, wrong);
    }
    if (parsed.contains("pools") && parsed["pools"].is_array())
    {
        read_pools(parsed, out, wrong);
    }
    if (!wrong.empty())
    {
        return wrong;
    }
    return out;
}

statement_result failed(const core::error& ec)
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

fleet_setup::fleet_setup(context& c, operator_parts parts) : context_(c), parts_(parts)
{
}

void fleet_setup::apply(const std::string& text, const std::string& command, callback done)
{
    auto read = read_file(text);
    if (const auto* wrong = std::get_if<core::findings>(&read))
    {
        done({{false, core::error_code::invalid, core::to_text(*wrong), "null"}});
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
    parts_.config.change(
        command,
        [next = *w->file.config](model::configuration& c) -> core::result<core::done>
        {
            // A file that names a version is meant against that version; 0 replaces whatever is
            // there.
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
                w->done({failed(core::failure(end))});
                return;
            }
            const auto version = std::to_string(core::value(end));
            w->results.push_back({true, {}, "configuration version " + version + '\n', version});
            add_hosts(w, 0);
        });
}

/// One pool after the other: each is one write, and a repeat adds only what is missing.
void fleet_setup::add_hosts(const std::shared_ptr<work>& w, std::size_t next)
{
    if (next == w->file.pools.size())
    {
        w->done(w->results);
        return;
    }
    const auto& wanted = w->file.pools[next];
    update_document(
        context_.writer(),
        model::keys::pools + wanted.pool,
        [this, w, wanted](const std::string* current) -> change_result
        {
            model::pool_document document;
            document.pool = wanted.pool;
            if (current != nullptr)
            {
                auto decoded =
                    model::decode_pool(*current, wanted.pool, model::strictness::lenient);
                if (const auto* wrong = std::get_if<core::findings>(&decoded))
                {
                    return core::error{core::error_code::unavailable, core::to_text(*wrong)};
                }
                document = std::get<model::pool_document>(std::move(decoded));
            }
            bool changed = false;
            for (const auto& host : wanted.hosts)
            {
                const auto id = w->command + "/" + host.id;
                const auto what = fleet::apply(document,
                    fleet::add_request{host, id},
                    {parts_.config.current(), context_.scheduler.wall_now()});
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
                w->results.push_back(failed(core::failure(end)));
            }
            add_hosts(w, next + 1);
        });
}

} // namespace camphorhitch::daemon
