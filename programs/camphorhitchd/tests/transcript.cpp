#include "transcript.hpp"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis between_looks{250};
constexpr core::millis patience{600000};
constexpr std::size_t most_shown = 20; ///< differing lines

std::vector<std::string> lines_of(const std::string& text)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
    {
        out.push_back(line);
    }
    return out;
}

} // namespace

operator_session::operator_session(test_fleet& fleet, test_daemon& daemon)
    : fleet_(fleet), daemon_(daemon)
{
}

std::string operator_session::command()
{
    return "command-" + std::to_string(++commands_);
}

void operator_session::put(const std::string& words, const told& answer)
{
    char at[32];
    std::snprintf(at, sizeof(at), "[%8.3f] ", static_cast<double>(fleet_.time.passed_ms()) / 1000);
    text_ += at + words + '\n';
    for (const auto& line : lines_of(answer.text))
    {
        text_ += "    " + line + '\n';
    }
}

void operator_session::say(const std::string& text)
{
    const auto answer = fleet_.execute(daemon_, text, command());
    put("> " + text, answer.answered ? answer : told{false, 0, "(no answer)\n", false});
}

void operator_session::apply(const std::string& shown, const std::string& text)
{
    put("> --apply " + shown, fleet_.apply(daemon_, text, command()));
}

void operator_session::submit(const std::string& pool, const std::string& text)
{
    put("> submit to " + pool + ": " + text, fleet_.submit(daemon_, pool, text));
}

void operator_session::wait(const std::string& what, const std::function<bool()>& holds)
{
    const bool came = fleet_.run_until(holds, patience);
    put("(waits for " + what + (came ? ")" : ": in vain)"), {});
}

void operator_session::wait_shown(const std::string& statement, const std::string& part)
{
    const auto end = fleet_.time.now() + patience;
    bool came = false;
    while (!came && fleet_.time.now() < end)
    {
        fleet_.run_for(between_looks);
        const auto answer = fleet_.execute(daemon_, statement, "look");
        came = answer.text.find(part) != std::string::npos;
    }
    put("(waits for '" + part + "' in: " + statement + (came ? ")" : ": in vain)"), {});
}

void operator_session::note(const std::string& text)
{
    put("(" + text + ")", {});
}

const std::string& operator_session::text() const
{
    return text_;
}

std::string compare_with_golden(const std::string& name, const std::string& text)
{
    const auto path = std::string(CAMPHORHITCH_GOLDEN_FOLDER) + "/" + name;
    const auto* update = std::getenv("CAMPHORHITCH_UPDATE_GOLDEN");
    if (update != nullptr && std::string(update) == "1")
    {
        std::ofstream(path, std::ios::binary) << text;
    }
    std::ifstream in(path, std::ios::binary);
    std::ostringstream buf;
    buf << in.rdbuf();
    if (buf.str() == text)
    {
        return {};
    }
    const auto before = lines_of(buf.str());
    const auto now = lines_of(text);
    std::string out = name + " differs:\n";
    std::size_t shown = 0;
    for (std::size_t i = 0; i < std::max(before.size(), now.size()) && shown < most_shown; ++i)
    {
        const auto was = i < before.size() ? before[i] : "(no line)";
        const auto is = i < now.size() ? now[i] : "(no line)";
        if (was != is)
        {
            out += std::to_string(i + 1) + "\n- " + was + "\n+ " + is + "\n";
            ++shown;
        }
    }
    return out;
}

} // namespace camphorhitch::daemon
