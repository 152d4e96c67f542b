#include "checked_json/writer.hpp"

#include <nlohmann/json.hpp>

namespace camphorhitch::checked_json
{

using json = nlohmann::ordered_json;

json_slot add_key(json_slot object, std::string_view key)
{
    return {&(*object.it)[std::string{key}]};
}

json_slot append_element(json_slot list)
{
    auto& values = list.it->get_ref<json::array_t&>();
    return {&values.emplace_back()};
}

void make_array(json_slot at, std::size_t size)
{
    *at.it = json::array();
    at.it->get_ref<json::array_t&>().reserve(size);
}

void write(json_slot at, bool v)
{
    *at.it = v;
}

void write(json_slot at, double v)
{
    *at.it = v;
}

void write(json_slot at, std::int64_t v)
{
    *at.it = v;
}

void write(json_slot at, std::uint64_t v)
{
    *at.it = v;
}

void write(json_slot at, const std::string& v)
{
    *at.it = v;
}

void write(json_slot at, core::millis v)
{
    *at.it = std::int64_t{v.count()};
}

object_writer::object_writer() : root_(std::make_unique<json>(json::object())), at_{root_.get()}
{
}

object_writer::object_writer(json_slot at) : at_(at)
{
    *at.it = json::object();
}

object_writer::~object_writer() = default;

std::string object_writer::text() const
{
    return at_.it->dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace camphorhitch::checked_json
