#include "statement_results.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphorhitch::daemon
{

statement_result success_result(const std::string& text)
{
    return {true, {}, text, nlohmann::json(text).dump()};
}

statement_result error_result(core::error_code code, std::string text)
{
    if (text.empty() || text.back() != '\n')
    {
        text += '\n';
    }
    return {false, code, std::move(text), "null"};
}

statement_result error_result(const core::findings& all)
{
    return error_result(core::error_code::invalid, core::to_text(all));
}

} // namespace camphorhitch::daemon
