#include "model/codec.hpp"

#include "describe_config.hpp"
#include "describe_fleet.hpp"

namespace camphorhitch::model
{

std::string encode(const configuration& c)
{
    return checked_json::encode(c);
}

std::string encode(const pool_document& d)
{
    return checked_json::encode(d);
}

std::string encode(const wave_document& d)
{
    return checked_json::encode(d);
}

std::string encode(const roster_document& d)
{
    return checked_json::encode(d);
}

std::string encode(const member_record& d)
{
    return checked_json::encode(d);
}

decoded<configuration> decode_configuration(
    const std::string& text, const std::string& name, strictness mode)
{
    return checked_json::decode<configuration>(text, name, mode);
}

decoded<pool_document> decode_pool(
    const std::string& text, const std::string& name, strictness mode)
{
    return checked_json::decode<pool_document>(text, name, mode);
}

decoded<wave_document> decode_wave(
    const std::string& text, const std::string& name, strictness mode)
{
    return checked_json::decode<wave_document>(text, name, mode);
}

decoded<roster_document> decode_roster(const std::string& text, const std::string& name)
{
    return checked_json::decode<roster_document>(text, name, strictness::lenient);
}

decoded<member_record> decode_member(const std::string& text, const std::string& name)
{
    return checked_json::decode<member_record>(text, name, strictness::lenient);
}

} // namespace camphorhitch::model
