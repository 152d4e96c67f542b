#include "transcript.hpp"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace camphorhitch::daemon
{

namespace
{

constexpr core::millis poll_interval{250};
constexpr core::millis wait_timeout{600000};
constexpr std::size_t max_shown_lines = 20; ///< maximum number of differing lines that are printed

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

void operator_session::append(const std::string& entry, const operator_answer& answer)
{
    char at[32];
    std::snprintf(at, sizeof(at), "[%8.3f] ", static_cast<double>(fleet_.time.passed_ms()) / 1000);
    text_ += at + entry + '\n';
    for (const auto& line : lines_of(answer.text))
    {
        text_ += "    " + line + '\n';
    }
}

void operator_session::execute(const std::string& text)
{
    const auto answer = fleet_.execute(daemon_, text, command());
    append(
        "> " + text, answer.answered ? answer : operator_answer{false, 0, "(no answer)\n", false});
}

void operator_session::apply(const std::string& shown, const std::string& text)
{
    append("> --apply " + shown, fleet_.apply(daemon_, text, command()));
}

void operator_session::submit(const std::string& pool, const std::string& text)
{
    append("> submit to " + pool + ": " + text, fleet_.submit(daemon_, pool, text));
}

void operator_session::wait(const std::string& what, const std::function<bool()>& holds)
{
    const bool met = fleet_.run_until(holds, wait_timeout);
    append("(waits for " + what + (met ? ")" : ": in vain)"), {});
}

void operator_session::wait_shown(const std::string& statement, const std::string& part)
{
    const auto end = fleet_.time.now() + wait_timeout;
    bool met = false;
    while (!met && fleet_.time.now() < end)
    {
        fleet_.run_for(poll_interval);
        const auto answer = fleet_.execute(daemon_, statement, "look");
        met = answer.text.find(part) != std::string::npos;
    }
    append("(waits for '" + part + "' in: " + statement + (met ? ")" : ": in vain)"), {});
}

void operator_session::note(const std::string& text)
{
    append("(" + text + ")", {});
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
    for (std::size_t i = 0; i < std::max(before.size(), now.size()) && shown < max_shown_lines; ++i)
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
