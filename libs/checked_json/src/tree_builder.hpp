/// \file
/// Builds the tree of nodes from nlohmann's SAX events, within limits.
#pragma once

#include "checked_json/document.hpp"
#include "text_cursor.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace camphorhitch::checked_json
{

/// Builds a document. Each event handler returns false to end the parsing after a fatal finding.
class tree_builder : public nlohmann::json_sax<nlohmann::json>
{
public:
    tree_builder(document& d, text_cursor& cursor, const parse_limits& limits);

    bool null() override;
    bool boolean(bool v) override;
    bool number_integer(number_integer_t v) override;
    bool number_unsigned(number_unsigned_t v) override;
    bool number_float(number_float_t v, const string_t& text) override;
    bool string(string_t& v) override;
    bool binary(binary_t& v) override;
    bool start_object(std::size_t count) override;
    bool key(string_t& v) override;
    bool end_object() override;
    bool start_array(std::size_t count) override;
    bool end_array() override;
    bool parse_error(std::size_t offset,
        const std::string& token,
        const nlohmann::detail::exception& ex) override;

    /// \return the finding that ended the parsing, or an empty list.
    const core::findings& fatal() const
    {
        return fatal_;
    }

private:
    /// An object or array whose end has not been read yet.
    struct open_value
    {
        node it;
        std::string key; ///< key of the next value, in an object
        position key_position;
    };

    bool open(node::content empty);
    bool close();
    bool add(node::content value);
    void attach(node it);
    bool stop(const std::string& text);
    void report_duplicate_keys(const object& members);
    std::string pointer() const;

    document& document_;
    text_cursor& cursor_;
    parse_limits limits_;
    std::size_t values_ = 0;
    std::vector<open_value> stack_;
    core::findings fatal_;
};

} // namespace camphorhitch::checked_json
