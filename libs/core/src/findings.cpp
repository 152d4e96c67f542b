#include "core/findings.hpp"

#include <algorithm>
#include <numeric>

namespace camphorhitch::core
{

namespace
{

constexpr std::size_t max_suggestion_distance = 2;

std::size_t edit_distance(const std::string& a, const std::string& b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            const std::size_t above = row[j];
            const std::size_t replace = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({above + 1, row[j - 1] + 1, replace});
            diagonal = above;
        }
    }
    return row[b.size()];
}

std::string place_text(const place& where)
{
    std::string text = where.document;
    if (where.line > 0)
    {
        text += ':' + std::to_string(where.line);
        text += where.column > 0 ? ':' + std::to_string(where.column) : std::string{};
    }
    if (!where.pointer.empty())
    {
        text += (text.empty() ? "" : " ") + where.pointer;
    }
    return text;
}

} // namespace

std::string to_text(const findings& all)
{
    std::string text;
    for (const auto& it : all)
    {
        const std::string where = place_text(it.where);
        text += where.empty() ? it.text : where + ": " + it.text;
        if (!it.suggestion.empty())
        {
            text += " (did you mean '" + it.suggestion + "'?)";
        }
        text += '\n';
    }
    return text;
}

std::string nearest_name(const std::string& word, const std::vector<std::string>& known)
{
    std::string best;
    std::size_t best_distance = max_suggestion_distance + 1;
    for (const auto& it : known)
    {
        const std::size_t n = edit_distance(word, it);
        if (n < best_distance && n < it.size())
        {
            best = it;
            best_distance = n;
        }
    }
    return best;
}

} // namespace camphorhitch::core
