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
constexpr const char* no_server_text =
    "no server: give --server ip:port or --settings FILE, or set CAMPHORHITCH_SERVERS";
// Daemons report whether statements are in force on all daemons, but not for a file. If both
// options were accepted together, the client would report success at once without this information.
constexpr const char* wait_with_apply_text = "--wait is for statements, not for --apply";

core::finding command_line_finding(const std::string& text)
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

std::string read_all(std::istream& in)
{
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// Reads one command line and collects the findings.
class argument_reader
{
public:
    argument_reader(const cxxopts::ParseResult& parsed_options, const environment& env)
        : parsed_options_(parsed_options), env_(env)
    {
    }

    parsed_arguments read()
    {
        read_settings();
        read_servers();
        read_token();
        read_statements();
        read_modes();
        if (!findings_.empty())
        {
            return findings_;
        }
        return arguments_;
    }

private:
    std::optional<std::string> text_of_file(const std::string& name, const char* problem)
    {
        auto text = env_.file(name);
        if (!text)
        {
            findings_.push_back({{name, "", 0, 0}, problem, ""});
        }
        return text;
    }

    bool has(const char* option) const
    {
        return parsed_options_.count(option) > 0;
    }

    std::string value(const char* option) const
    {
        return parsed_options_[option].as<std::string>();
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
            findings_.insert(findings_.end(), found->begin(), found->end());
            return;
        }
        auto& good = std::get<settings::client_settings>(read);
        arguments_.servers = std::move(good.operators);
        arguments_.token = std::move(good.token);
        arguments_.timeout_ms = static_cast<int>(good.timeout.count());
    }

    void read_servers()
    {
        if (has("server"))
        {
            arguments_.servers = parsed_options_["server"].as<std::vector<std::string>>();
        }
        else if (const auto text = env_.variable("CAMPHORHITCH_SERVERS"))
        {
            arguments_.servers = split(*text);
        }
        if (arguments_.servers.empty() && findings_.empty())
        {
            findings_.push_back(command_line_finding(no_server_text));
        }
    }

    void read_token()
    {
        if (!has("token-file"))
        {
            arguments_.token = env_.variable("CAMPHORHITCH_TOKEN").value_or(arguments_.token);
            return;
        }
        if (const auto text = text_of_file(value("token-file"), "can't read the token"))
        {
            arguments_.token = text->substr(0, text->find('\n'));
        }
    }

    void read_statements()
    {
        arguments_.apply = has("apply");
        if (arguments_.apply && has("file"))
        {
            findings_.push_back(command_line_finding("--file and --apply don't go together"));
        }
        if (arguments_.apply || has("file"))
        {
            read_statements_file(value(arguments_.apply ? "apply" : "file"));
        }
        else
        {
            join_statements();
        }
        if (arguments_.statements.empty() && findings_.empty())
        {
            findings_.push_back({{arguments_.statements_name, "", 0, 0},
                "no statement, for example 'show hosts'",
                ""});
        }
    }

    void read_statements_file(const std::string& name)
    {
        if (has("statements"))
        {
            findings_.push_back(
                command_line_finding("statements come from the file or from here, not both"));
        }
        if (name == "-")
        {
            arguments_.statements_name = "standard input";
            arguments_.statements = env_.standard_input();
            return;
        }
        arguments_.statements_name = name;
        arguments_.statements = text_of_file(name, "can't read the statements").value_or("");
    }

    void join_statements()
    {
        arguments_.statements_name = "argument";
        if (has("statements"))
        {
            for (const auto& it : parsed_options_["statements"].as<std::vector<std::string>>())
            {
                arguments_.statements += arguments_.statements.empty() ? it : " " + it;
            }
        }
    }

    void read_modes()
    {
        arguments_.json = has("json");
        arguments_.wait = has("wait");
        arguments_.wait_seconds = parsed_options_["wait-seconds"].as<int>();
        arguments_.watch_seconds = parsed_options_["watch"].as<int>();
        arguments_.timeout_ms =
            has("timeout-ms") ? parsed_options_["timeout-ms"].as<int>() : arguments_.timeout_ms;
        arguments_.command_id = value("command-id");
        if (arguments_.watch_seconds < 0 || arguments_.wait_seconds < 0)
        {
            findings_.push_back(command_line_finding("times must not be negative"));
        }
        if (arguments_.timeout_ms <= 0)
        {
            findings_.push_back(command_line_finding("--timeout-ms must be more than 0"));
        }
        if (arguments_.wait && arguments_.apply)
        {
            findings_.push_back(command_line_finding(wait_with_apply_text));
        }
    }

    const cxxopts::ParseResult& parsed_options_;
    const environment& env_;
    arguments arguments_;
    core::findings findings_;
};

std::optional<std::string> environment_variable(const std::string& name)
{
    const char* text = std::getenv(name.c_str());
    return text == nullptr ? std::nullopt : std::optional<std::string>{text};
}

std::optional<std::string> read_file(const std::string& name)
{
    std::ifstream in(name);
    return in ? std::optional<std::string>{read_all(in)} : std::nullopt;
}

} // namespace

environment process_environment()
{
    return {environment_variable,
        read_file,
        []
        {
            return read_all(std::cin);
        }};
}

parsed_arguments read_arguments(int argc, const char* const* argv, const environment& env)
{
    auto options = describe_options();
    try
    {
        const auto parsed_options = options.parse(argc, argv);
        if (parsed_options.count("help") > 0)
        {
            return text_output{options.help()};
        }
        if (parsed_options.count("version") > 0)
        {
            return text_output{version_text};
        }
        return argument_reader(parsed_options, env).read();
    }
    catch (const cxxopts::exceptions::exception& ec)
    {
        return core::findings{command_line_finding(ec.what())};
    }
}

} // namespace camphorhitch::client
