#include "standin_support/json.hpp"

#include "core/base64.hpp"

#include <charconv>
#include <deque>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace camphorhitch::standin_support
{

using nlohmann::json;

ports::http_response json_response(int status, const json& body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
}

ports::http_response error_response(int status, const std::string& text)
{
    return json_response(status, {{"error", text}});
}

struct object_reader::node
{
    const json* value = nullptr;
    std::string pointer;
    std::set<std::string> read;
};

struct object_reader::document
{
    json root;
    std::deque<node> nodes;
    core::findings findings;

    void add(const std::string& pointer, const std::string& text)
    {
        findings.push_back({{"", pointer, 0, 0}, text, ""});
    }
};

object_reader::object_reader(const std::string& text) : whole_(std::make_shared<document>())
{
    whole_->root = text.empty() ? json::object() : json::parse(text, nullptr, false);
    if (!whole_->root.is_object())
    {
        whole_->add("", "not a JSON object");
        whole_->root = json::object();
    }
    whole_->nodes.push_back({&whole_->root, "", {}});
    here_ = &whole_->nodes.back();
}

object_reader::object_reader(std::shared_ptr<document> whole, node* here)
    : whole_(std::move(whole)), here_(here)
{
}

object_reader::~object_reader() = default;
object_reader::object_reader(object_reader&&) noexcept = default;
object_reader& object_reader::operator=(object_reader&&) noexcept = default;

bool object_reader::has(const char* name) const
{
    return here_->value->contains(name);
}

const json* object_reader::member(const char* name)
{
    here_->read.insert(name);
    const auto it = here_->value->find(name);
    return it == here_->value->end() ? nullptr : &*it;
}

void object_reader::add_finding(const char* name, const std::string& text)
{
    whole_->add(here_->pointer + "/" + name, text);
}

template <class T, class Holds>
bool object_reader::read_as(const char* name, T& to, const char* expected, Holds holds)
{
    const auto* const value = member(name);
    if (value == nullptr)
    {
        return false;
    }
    if (!holds(*value))
    {
        add_finding(name, std::string("must be ") + expected);
        return false;
    }
    to = value->get<T>();
    return true;
}

bool object_reader::read(const char* name, std::string& to)
{
    return read_as(name, to, "a string", [](const json& v) { return v.is_string(); });
}

bool object_reader::read(const char* name, bool& to)
{
    return read_as(name, to, "true or false", [](const json& v) { return v.is_boolean(); });
}

bool object_reader::read(const char* name, int& to)
{
    return read_as(name, to, "an integer", [](const json& v) { return v.is_number_integer(); });
}

bool object_reader::read(const char* name, double& to)
{
    return read_as(name, to, "a number", [](const json& v) { return v.is_number(); });
}

bool object_reader::read(const char* name, std::int64_t& to)
{
    const auto* const value = member(name);
    if (value == nullptr || !value->is_string())
    {
        return read_as(name, to, "an integer", [](const json& v) { return v.is_number_integer(); });
    }
    const auto& text = value->get_ref<const std::string&>();
    const auto* const end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, to);
    if (ec != std::errc{} || at != end)
    {
        add_finding(name, "must be an integer");
        return false;
    }
    return true;
}

bool object_reader::read(const char* name, std::vector<std::string>& to)
{
    const auto holds = [](const json& v)
    {
        return v.is_array() &&
               std::all_of(v.begin(), v.end(), [](const json& it) { return it.is_string(); });
    };
    return read_as(name, to, "an array of strings", holds);
}

bool object_reader::read_base64(const char* name, std::string& to)
{
    std::string text;
    if (!read(name, text))
    {
        return false;
    }
    auto bytes = core::from_base64(text);
    if (!bytes)
    {
        add_finding(name, "must be base64");
        return false;
    }
    to = std::move(*bytes);
    return true;
}

bool object_reader::read_share(const char* name, double& to)
{
    const auto holds = [](const json& v)
    {
        return v.is_number() && v.get<double>() >= 0 && v.get<double>() <= 1;
    };
    return read_as(name, to, "a number from 0 to 1", holds);
}

object_reader object_reader::child(const json& value, const std::string& pointer)
{
    whole_->nodes.push_back({&value, pointer, {}});
    return {whole_, &whole_->nodes.back()};
}

std::optional<object_reader> object_reader::object(const char* name)
{
    const auto* const value = member(name);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    if (!value->is_object())
    {
        add_finding(name, "must be an object");
        return std::nullopt;
    }
    return child(*value, here_->pointer + "/" + name);
}

std::vector<object_reader> object_reader::objects(const char* name)
{
    std::vector<object_reader> all;
    const auto* const value = member(name);
    if (value == nullptr)
    {
        return all;
    }
    if (!value->is_array())
    {
        add_finding(name, "must be an array");
        return all;
    }
    for (std::size_t i = 0; i < value->size(); ++i)
    {
        const auto pointer = here_->pointer + "/" + name + "/" + std::to_string(i);
        if (!(*value)[i].is_object())
        {
            whole_->add(pointer, "must be an object");
            continue;
        }
        all.push_back(child((*value)[i], pointer));
    }
    return all;
}

core::findings object_reader::finish()
{
    for (auto& it : whole_->nodes)
    {
        for (const auto& member : it.value->items())
        {
            if (!it.read.contains(member.key()))
            {
                whole_->add(it.pointer + "/" + member.key(), "not known here");
            }
        }
    }
    return whole_->findings;
}

std::optional<ports::http_response> refusal(object_reader& body)
{
    const auto wrong = body.finish();
    if (wrong.empty())
    {
        return std::nullopt;
    }
    return error_response(400, core::to_text(wrong));
}

ports::http_response control_answer(object_reader& command)
{
    return refusal(command).value_or(json_response(200, json::object()));
}

} // namespace camphorhitch::standin_support
