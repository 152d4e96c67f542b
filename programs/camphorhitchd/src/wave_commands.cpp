#include "wave_commands.hpp"

#include "model/codec.hpp"
#include "model/keys.hpp"

#include <algorithm>
#include <memory>

namespace camphorhitch::daemon
{

namespace
{

/// Applies a change to a wave's stored text. The note is told when the write has ended well.
change_result changed_text(const core::result<fleet::wave_change>& made, std::string& note)
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

core::result<model::wave_document> read(const std::string* text, const std::string& id)
{
    if (text == nullptr)
    {
        return core::error{core::error_code::not_found, "no wave named " + id};
    }
    auto decoded = model::decode_wave(*text, id, model::strictness::lenient);
    if (const auto* wrong = std::get_if<core::findings>(&decoded))
    {
        return core::error{core::error_code::unavailable, core::to_text(*wrong)};
    }
    return std::get<model::wave_document>(std::move(decoded));
}

update_callback tell(std::shared_ptr<std::string> note, wave_callback done)
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

fleet::wave_start_request wish_of(const language::drain_statement& s, const std::string& command)
{
    fleet::wave_start_request wish;
    wish.id = s.wave ? s.wave->text : s.scope_name.text + "-" + command.substr(0, 8);
    wish.policy = s.policy ? s.policy->text : std::string{};
    wish.command = command;
    switch (s.scope)
    {
    case language::drain_scope::host:
        wish.selection.hosts = {s.scope_name.text};
        break;
    case language::drain_scope::zone:
        wish.selection.zones = {s.scope_name.text};
        break;
    case language::drain_scope::rack:
        wish.selection.racks = {s.scope_name.text};
        break;
    case language::drain_scope::pool:
        wish.selection.pools = {s.scope_name.text};
        break;
    }
    return wish;
}

void write_wave_start(context& c,
    const fleet_service& fleet,
    const fleet::wave_start_request& wish,
    wave_callback done)
{
    const auto note = std::make_shared<std::string>();
    update_document(
        c.writer(),
        model::keys::waves + wish.id,
        [&c, &fleet, wish, note](const std::string* current) -> change_result
        {
            auto waves = fleet.waves();
            if (current != nullptr)
            {
                // The text at hand is newer than the view: a repeat must find its own wave.
                auto stored = read(current, wish.id);
                if (!core::is_ok(stored))
                {
                    return core::failure(stored);
                }
                waves.erase(std::remove_if(waves.begin(),
                                waves.end(),
                                [&](const auto& it) { return it.document.id == wish.id; }),
                    waves.end());
                waves.push_back({core::value(stored), 1});
            }
            return changed_text(
                fleet::start_wave(
                    wish, fleet.config(), fleet.pools(), waves, c.scheduler.wall_now()),
                *note);
        },
        tell(note, std::move(done)));
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
        c.writer(),
        model::keys::waves + id,
        [&c, &fleet, id, verb, command, note](const std::string* current) -> change_result
        {
            const auto stored = read(current, id);
            if (!core::is_ok(stored))
            {
                return core::failure(stored);
            }
            const auto now = c.scheduler.wall_now();
            const auto& w = core::value(stored);
            return changed_text(verb == wave_verb::cancel
                                    ? fleet::cancel_wave(w, command, now)
                                    : fleet::resume_wave(w, command, fleet.pools(), now),
                *note);
        },
        tell(note, std::move(done)));
}

bool has_ended(const std::string& command, const fleet_service& fleet)
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
