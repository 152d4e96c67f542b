#include "prometheus_text.hpp"

#include <fmt/format.h>

namespace camphorhitch::telemetry
{

namespace
{

void append_name(std::string& out, const std::string& name)
{
    bool first = true;
    for (const char c : name)
    {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
        const bool digit = c >= '0' && c <= '9';
        out += letter || (digit && !first) ? c : '_';
        first = false;
    }
}

void append_escaped(std::string& out, const std::string& text, bool quotes)
{
    for (const char c : text)
    {
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        if (c == '\\' || (c == '"' && quotes))
        {
            out += '\\';
        }
        out += c;
    }
}

} // namespace

std::string number_text(double v)
{
    return fmt::format("{}", v);
}

void append_header(
    std::string& out, const std::string& name, const char* type, const std::string& help)
{
    if (!help.empty())
    {
        out += "# HELP ";
        append_name(out, name);
        out += ' ';
        append_escaped(out, help, false);
        out += '\n';
    }
    out += "# TYPE ";
    append_name(out, name);
    out += ' ';
    out += type;
    out += '\n';
}

void append_sample(
    std::string& out, const std::string& name, const ports::metric_labels& labels, double v)
{
    append_name(out, name);
    char before = '{';
    for (const auto& [key, value] : labels)
    {
        out += before;
        append_name(out, key);
        out += "=\"";
        append_escaped(out, value, true);
        out += '"';
        before = ',';
    }
    out += labels.empty() ? " " : "} ";
    out += number_text(v);
    out += '\n';
}

} // namespace camphorhitch::telemetry
