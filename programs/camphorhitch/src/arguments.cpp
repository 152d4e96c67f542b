#include "arguments.hpp"

#include <cstdlib>
// Statements hold commas; a list of values is given by repeating the option.
#define CXXOPTS_VECTOR_DELIMITER (char)0
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace camphorhitch::client
{

namespace
{

constexpr const char* version_text = "camphorhitch 0.1.0\n";
constexpr const char* no_server =
    "no server: give --server ip:port, or set CAMPHORHITCH_SERVERS to a list of them";

cxxopts::Options describe()
{
    cxxopts::Options options("camphorhitch", "Queries and commands for a camphorhitch fleet.");
    auto add = options.add_options();
    add("s,server",
        "operators' address of a daemon, ip:port; several are tried in order",
        cxxopts::value<std::vector<std::string>>());
    add("token-file", "file that holds the operators' token", cxxopts::value<std::string>());
    add("f,file",
        "read statements from a file; - is standard input",
        cxxopts::value<std::string>());
    add("apply",
        "apply a file of configuration and hosts; - is standard input",
        cxxopts::value<std::string>());
    add("json", "print JSON instead of tables");
    add("wait", "wait until a command is in force everywhere, or a wave has ended");
    add("wait-seconds",
        "give up waiting after this long",
        cxxopts::value<int>()->default_value("600"));
    add("watch", "repeat a query every N seconds", cxxopts::value<int>()->default_value("0"));
    add("timeout-ms", "most time for one call", cxxopts::value<int>()->default_value("10000"));
    add("command-id",
        "id of the command; give the same one to repeat it safely",
        cxxopts::value<std::string>()->default_value(""));
    add("h,help", "print this text");
    add("version", "print the version");
    add("statements", "statements, separated by ;", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"statements"});
    options.positional_help("'STATEMENT; ...'");
    return options;
}

std::string from_environment(const char* name)
{
    const char* text = std::getenv(name);
    return text == nullptr ? std::string{} : std::string{text};
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

void read_token(const cxxopts::ParseResult& given, arguments& out, core::findings& wrong)
{
    out.token = from_environment("CAMPHORHITCH_TOKEN");
    if (given.count("token-file") == 0)
    {
        return;
    }
    const auto name = given["token-file"].as<std::string>();
    std::ifstream file(name);
    if (!file)
    {
        wrong.push_back({{name, "", 0, 0}, "can't read the token", ""});
        return;
    }
    std::getline(file, out.token);
}

void read_statements(const cxxopts::ParseResult& given, arguments& out, core::findings& wrong)
{
    out.apply = given.count("apply") > 0;
    if (given.count("file") == 0 && !out.apply)
    {
        out.statements_name = "argument";
        if (given.count("statements") > 0)
        {
            for (const auto& it : given["statements"].as<std::vector<std::string>>())
            {
                out.statements += out.statements.empty() ? it : " " + it;
            }
        }
    }
    else if (const auto name = given[out.apply ? "apply" : "file"].as<std::string>(); name == "-")
    {
        out.statements_name = "standard input";
        out.statements = whole(std::cin);
    }
    else
    {
        out.statements_name = name;
        std::ifstream file(name);
        if (!file)
        {
            wrong.push_back({{name, "", 0, 0}, "can't read the statements", ""});
            return;
        }
        out.statements = whole(file);
    }
    if (out.statements.empty())
    {
        wrong.push_back(
            {{out.statements_name, "", 0, 0}, "no statement, for example 'show hosts'", ""});
    }
}

parsed_arguments take(const cxxopts::ParseResult& given)
{
    arguments out;
    core::findings wrong;
    out.servers = split(from_environment("CAMPHORHITCH_SERVERS"));
    if (given.count("server") > 0)
    {
        out.servers = given["server"].as<std::vector<std::string>>();
    }
    if (out.servers.empty())
    {
        wrong.push_back({{"command line", "", 0, 0}, no_server, ""});
    }
    read_token(given, out, wrong);
    read_statements(given, out, wrong);
    out.json = given.count("json") > 0;
    out.wait = given.count("wait") > 0;
    out.wait_seconds = given["wait-seconds"].as<int>();
    out.watch_seconds = given["watch"].as<int>();
    out.timeout_ms = given["timeout-ms"].as<int>();
    out.command_id = given["command-id"].as<std::string>();
    if (out.watch_seconds < 0 || out.wait_seconds < 0 || out.timeout_ms <= 0)
    {
        wrong.push_back({{"command line", "", 0, 0}, "times must not be negative", ""});
    }
    if (!wrong.empty())
    {
        return wrong;
    }
    return out;
}

} // namespace

parsed_arguments read_arguments(int argc, char** argv)
{
    auto options = describe();
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
        return take(given);
    }
    catch (const cxxopts::exceptions::exception& ec)
    {
        return core::findings{{{"command line", "", 0, 0}, ec.what(), ""}};
    }
}

} // namespace camphorhitch::client
