#include "http/address.hpp"

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;

TEST_GROUP(address){};

// Guards against calls to another address than the one that was checked: text after a zero byte was
// ignored, and the port was then the default one.
TEST(address, only_an_ip_number_and_a_port_are_an_address)
{
    using namespace std::string_literals;
    for (const auto& it : {"10.1.0.9:1"s, "10.1.0.9:65535"s, "[::1]:80"s, "[fd00::7]:8080"s})
    {
        CHECK_TEXT(http::is_address(it), it.c_str());
    }
    for (const auto& it : {""s,
             ":"s,
             "10.1.0.9"s,
             "10.1.0.9:"s,
             "10.1.0.9:65536"s,
             "10.1.0.9:4294967376"s,
             "10.1.0.9:99999999999999999999999"s,
             "10.1.0.9:-1"s,
             "10.1.0.9:+80"s,
             "10.1.0.9:80x"s,
             "10.1.0.9:80\0"s,
             "10.1.0.9\0:80"s,
             "10.1.0.9\0.example:80"s,
             "[::1\0]:80"s,
             "10.1.0.9:" + std::string(100'000, '0') + "80",
             "::1:80"s,
             "name.example:80"s})
    {
        CHECK_FALSE_TEXT(http::is_address(it), it.c_str());
    }
}
