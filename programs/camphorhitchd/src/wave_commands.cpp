#include "wave_commands.hpp"

#include "model/codec.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <memory>

namespace camphorhitch::daemon
{

namespace
{

/// Encodes a change of a wave. \p note receives the message that is reported after a successful
/// write.
change_result encode_change(const core::result<fleet::wave_change>& made, std::string& note)
{
    if (!core::is_ok(made))
    {
        return core::failure(made);
    }
    note = core::value(made).note;
    return core::value(made).changed
               ? std::optional<std::string>{model::encode(core::value(made).next)}
               : std::optional<std::string>{};
}

core::result<model::wave_document> decode_wave_text(const std::string* text, const std::string& id)
{
    if (text == nullptr)
    {
        return core::error{core::error_code::not_found, "no wave named " + id};
    }
    auto decoded = model::decode_wave(*text, id, model::strictness::lenient);
    if (const auto* findings = std::get_if<core::findings>(&decoded))
    {
        return core::error{core::error_code::unavailable, core::to_text(*findings)};
    }
    return std::get<model::wave_document>(std::move(decoded));
}

update_callback make_update_callback(std::shared_ptr<std::string> note, wave_callback done)
{
    return [note = std::move(note), done = std::move(done)](const core::result<core::done>& end)
    {
        if (core::is_ok(end))
        {
            done(*note);
        }
        else
        {
            done(core::failure(end));
        }
    };
}

} // namespace

fleet::wave_start_request make_wave_start_request(
    const language::drain_statement& s, const std::string& command)
{
    fleet::wave_start_request request;
    request.id = s.wave ? s.wave->text : s.scope_name.text + "-" + command.substr(0, 8);
    request.policy = s.policy ? s.policy->text : std::string{};
    request.command = command;
    switch (s.scope)
    {
    case language::drain_scope::host:
        request.selection.hosts = {s.scope_name.text};
        break;
    case language::drain_scope::zone:
        request.selection.zones = {s.scope_name.text};
        break;
    case language::drain_scope::rack:
        request.selection.racks = {s.scope_name.text};
        break;
    case language::drain_scope::pool:
        request.selection.pools = {s.scope_name.text};
        break;
    }
    return request;
}

void write_wave_start(context& c,
    const fleet_service& fleet,
    const fleet::wave_start_request& request,
    wave_callback done)
{
    const auto note = std::make_shared<std::string>();
    update_document(
        c.document_updater(),
        model::keys::waves + request.id,
        [&c, &fleet, request, note](const std::string* current) -> change_result
        {
            auto waves = fleet.waves();
            if (current != nullptr)
            {
                // The stored text is newer than the mirrored view: a repeated command must find the
                // wave that it started.
                auto stored = decode_wave_text(current, request.id);
                if (!core::is_ok(stored))
                {
                    return core::failure(stored);
                }
                waves.erase(std::remove_if(waves.begin(),
                                waves.end(),
                                [&](const auto& it) { return it.document.id == request.id; }),
                    waves.end());
                waves.push_back({core::value(stored), 1});
            }
            return encode_change(
                fleet::start_wave(
                    request, fleet.config(), fleet.pools(), waves, c.scheduler.wall_now()),
                *note);
        },
        make_update_callback(note, std::move(done)));
}

void write_wave_change(context& c,
    const fleet_service& fleet,
    const std::string& id,
    wave_verb verb,
    const std::string& command,
    wave_callback done)
{
    const auto note = std::make_shared<std::string>();
    update_document(
        c.document_updater(),
        model::keys::waves + id,
        [&c, &fleet, id, verb, command, note](const std::string* current) -> change_result
        {
            const auto stored = decode_wave_text(current, id);
            if (!core::is_ok(stored))
            {
                return core::failure(stored);
            }
            const auto now = c.scheduler.wall_now();
            const auto& w = core::value(stored);
            return encode_change(verb == wave_verb::cancel
                                     ? fleet::cancel_wave(w, command, now)
                                     : fleet::resume_wave(w, command, fleet.pools(), now),
                *note);
        },
        make_update_callback(note, std::move(done)));
}

bool wave_has_ended(const std::string& command, const fleet_service& fleet)
{
    for (const auto& it : fleet.waves())
    {
        const auto& all = it.document.commands;
        if (std::find(all.begin(), all.end(), command) != all.end())
        {
            return fleet::is_ended(it.document);
        }
    }
    return true;
}

} // namespace camphorhitch::daemon
