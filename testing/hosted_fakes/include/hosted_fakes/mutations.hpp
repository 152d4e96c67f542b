/// \file
/// Mutates valid JSON texts at random from a seed: bytes, fields and values, as a faulty writer
/// might.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace camphorhitch::hosted_fakes
{

class mutator
{
public:
    explicit mutator(std::uint64_t seed) : random_(seed)
    {
    }

    /// \return \p good with one to three changes.
    std::string mutate(const std::string& good)
    {
        auto text = good;
        const auto n = 1 + below(3);
        for (std::size_t i = 0; i < n; ++i)
        {
            text = below(4) == 0 ? change_bytes(std::move(text)) : change_values(text);
        }
        return text;
    }

private:
    std::size_t below(std::size_t n)
    {
        return static_cast<std::size_t>(random_() % n);
    }

    std::string change_bytes(std::string text)
    {
        if (text.empty())
        {
            return text;
        }
        const auto at = below(text.size());
        switch (below(4))
        {
        case 0:
            text[at] = static_cast<char>(random_());
            break;
        case 1:
            text.resize(at);
            break;
        case 2:
            text.erase(at, 1 + below(8));
            break;
        default:
            text.insert(at, 1, static_cast<char>(random_()));
            break;
        }
        return text;
    }

    /// Changes one value or removes one field; a text that is not JSON is returned unchanged.
    std::string change_values(const std::string& text)
    {
        auto whole = nlohmann::json::parse(text, nullptr, false);
        if (whole.is_discarded())
        {
            return text;
        }
        auto* it = &whole;
        while (it->is_structured() && !it->empty() && below(4) != 0)
        {
            auto next = it->begin();
            std::advance(next, static_cast<std::ptrdiff_t>(below(it->size())));
            if (below(8) == 0)
            {
                it->erase(next);
                return whole.dump();
            }
            it = &*next;
        }
        *it = odd_values_[below(odd_values_.size())];
        return whole.dump();
    }

    std::mt19937_64 random_;
    const std::vector<nlohmann::json> odd_values_{nullptr,
        true,
        "",
        "x",
        "-1",
        std::string(300, 'y'),
        0,
        1,
        -1,
        2.5,
        1e18,
        1e300,
        -1e300,
        std::int64_t{1} << 53,
        INT64_MAX,
        INT64_MIN,
        UINT64_MAX,
        nlohmann::json::array(),
        nlohmann::json::object(),
        nlohmann::json::array({nlohmann::json::array()}),
        nlohmann::json::array({"a", 7, nullptr})};
};

} // namespace camphorhitch::hosted_fakes
