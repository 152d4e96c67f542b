#include "sample.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace camphorhitch;
using namespace camphorhitch::checked_json;

TEST_GROUP(writing){};

TEST(writing, text_is_compact_without_empty_optional_keys)
{
    sample s;
    s.name = "a";
    STRCMP_EQUAL(R"({"name":"a","size":5,"share":0.5,"wait_ms":100})", encode(s).c_str());
    s.shade = colour::green;
    s.tags = {"x\n\"y", "\xff"};
    s.parts = {{"p", 0}};
    s.epoch = ~std::uint64_t{0};
    STRCMP_EQUAL("{\"name\":\"a\",\"size\":5,\"epoch\":18446744073709551615,\"share\":0.5,"
                 "\"wait_ms\":100,\"shade\":\"green\",\"tags\":[\"x\\n\\\"y\",\"\xef\xbf\xbd\"],"
                 "\"parts\":[{\"id\":\"p\",\"count\":0}]}",
        encode(s).c_str());
}

/// Guards against input on which the decoder crashes or returns neither a record nor findings. A
/// record that the decoder accepts is accepted again after it was encoded.
TEST(writing, random_text_gives_a_record_or_findings)
{
    CHECK(rc::check("bytes of JSON's own letters",
        []
        {
            const auto letters = rc::gen::element<std::string>("{",
                "}",
                "[",
                "]",
                ":",
                ",",
                "\"name\"",
                "\"tags\"",
                "\"a\"",
                "1",
                "-",
                "e",
                ".",
                "null",
                "\"",
                "\\",
                "\n",
                "\xc3",
                std::string(1, '\0'));
            std::string text = *rc::gen::element<std::string>("", "{\"name\":\"a\",");
            for (const auto& it : *rc::gen::container<std::vector<std::string>>(letters))
            {
                text += it;
            }
            const auto r = decode<sample>(text, "s", strictness::lenient);
            if (const auto* s = std::get_if<sample>(&r))
            {
                const auto again = decode<sample>(encode(*s), "s", strictness::strict);
                RC_ASSERT(encode(std::get<sample>(again)) == encode(*s));
            }
            else
            {
                RC_ASSERT(!std::get<core::findings>(r).empty());
            }
        }));
}
