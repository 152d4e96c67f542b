#include "arguments.hpp"

#include "options.hpp"
#include "settings/client_settings.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <utility>

namespace camphorhitch::client
{

namespace
{

constexpr const char* version_text = "camphorhitch 0.1.0\n";
constexpr const char* no_server =
    "no server: give --server ip:port or --settings FILE, or set CAMPHORHITCH_SERVERS";
// A daemon can't tell of a file, as it can of statements, when it is in force everywhere; with
// this let through, the client would say so at once without knowing.
constexpr const char* wait_of_a_file = "--wait is for statements, not for --apply";

core::finding on_command_line(const std::string& text)
{
    return {{"command line", "", 0, 0}, text, ""};
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string it; std::getline(in, it, ',');)
    {
        if (!it.empty())
        {
            parts.push_back(it);
        }
    }
    return parts;
}

std::string whole(std::istream& in)
{
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// Reads one command line; what is wrong gathers in found().
class reader
{
public:
    reader(const cxxopts::ParseResult& given, const surroundings& around)
        : given_(given), around_(around)
    {
    }

    parsed_arguments read()
    {
        read_settings();
        read_servers();
        read_token();
        read_statements();
        read_ways();
        if (!wrong_.empty())
        {
            return wrong_;
        }
        return out_;
    }

private:
    std::optional<std::string> text_of_file(const std::string& name, const char* problem)
    {
        auto text = around_.file(name);
        if (!text)
        {
            wrong_.push_back({{name, "", 0, 0}, problem, ""});
        }
        return text;
    }

    bool has(const char* option) const
    {
        return given_.count(option) > 0;
    }

    std::string value(const char* option) const
    {
        return given_[option].as<std::string>();
    }

    void read_settings()
    {
        if (!has("settings"))
        {
            return;
        }
        const auto text = text_of_file(value("settings"), "can't read the settings");
        if (!text)
        {
            return;
        }
        auto read = settings::read_client_settings(*text, value("settings"));
        if (const auto* found = std::get_if<core::findings>(&read))
        {
            wrong_.insert(wrong_.end(), found->begin(), found->end());
            return;
        }
        auto& good = std::get<settings::client_settings>(read);
        out_.servers = std::move(good.operators);
        out_.token = std::move(good.token);
        out_.timeout_ms = static_cast<int>(good.timeout.count());
    }

    void read_servers()
    {
        if (has("server"))
        {
            out_.servers = given_["server"].as<std::vector<std::string>>();
        }
        else if (const auto text = around_.variable("CAMPHORHITCH_SERVERS"))
        {
            out_.servers = split(*text);
        }
        if (out_.servers.empty() && wrong_.empty())
        {
            wrong_.push_back(on_command_line(no_server));
        }
    }

    void read_token()
    {
        if (!has("token-file"))
        {
            out_.token = around_.variable("CAMPHORHITCH_TOKEN").value_or(out_.token);
            return;
        }
        if (const auto text = text_of_file(value("token-file"), "can't read the token"))
        {
            out_.token = text->substr(0, text->find('\n'));
        }
    }

    void read_statements()
    {
        out_.apply = has("apply");
        if (out_.apply && has("file"))
        {
            wrong_.push_back(on_command_line("--file and --apply don't go together"));
        }
        if (out_.apply || has("file"))
        {
            read_named_text(value(out_.apply ? "apply" : "file"));
        }
        else
        {
            join_statements();
        }
        if (out_.statements.empty() && wrong_.empty())
        {
            wrong_.push_back(
                {{out_.statements_name, "", 0, 0}, "no statement, for example 'show hosts'", ""});
        }
    }

    void read_named_text(const std::string& name)
    {
        if (has("statements"))
        {
            wrong_.push_back(
                on_command_line("statements come from the file or from here, not both"));
        }
        if (name == "-")
        {
            out_.statements_name = "standard input";
            out_.statements = around_.standard_input();
            return;
        }
        out_.statements_name = name;
        out_.statements = text_of_file(name, "can't read the statements").value_or("");
    }

    void join_statements()
    {
        out_.statements_name = "argument";
        if (has("statements"))
        {
            for (const auto& it : given_["statements"].as<std::vector<std::string>>())
            {
                out_.statements += out_.statements.empty() ? it : " " + it;
            }
        }
    }

    void read_ways()
    {
        out_.json = has("json");
        out_.wait = has("wait");
        out_.wait_seconds = given_["wait-seconds"].as<int>();
        out_.watch_seconds = given_["watch"].as<int>();
        out_.timeout_ms = has("timeout-ms") ? given_["timeout-ms"].as<int>() : out_.timeout_ms;
        out_.command_id = value("command-id");
        if (out_.watch_seconds < 0 || out_.wait_seconds < 0)
        {
            wrong_.push_back(on_command_line("times must not be negative"));
        }
        if (out_.timeout_ms <= 0)
        {
            wrong_.push_back(on_command_line("--timeout-ms must be more than 0"));
        }
        if (out_.wait && out_.apply)
        {
            wrong_.push_back(on_command_line(wait_of_a_file));
        }
    }

    const cxxopts::ParseResult& given_;
    const surroundings& around_;
    arguments out_;
    core::findings wrong_;
};

std::optional<std::string> own_variable(const std::string& name)
{
    const char* text = std::getenv(name.c_str());
    return text == nullptr ? std::nullopt : std::optional<std::string>{text};
}

std::optional<std::string> own_file(const std::string& name)
{
    std::ifstream in(name);
    return in ? std::optional<std::string>{whole(in)} : std::nullopt;
}

} // namespace

surroundings own_surroundings()
{
    return {own_variable,
        own_file,
        []
        {
            return whole(std::cin);
        }};
}

parsed_arguments read_arguments(int argc, const char* const* argv, const surroundings& around)
{
    auto options = describe_options();
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            return only_text{options.help()};
        }
        if (given.count("version") > 0)
        {
            return only_text{version_text};
        }
        return reader(given, around).read();
    }
    catch (const cxxopts::exceptions::exception& ec)
    {
        return core::findings{on_command_line(ec.what())};
    }
}

} // namespace camphorhitch::client
