/// \file
/// JSON in requests and answers. A reader collects all findings and rejects unknown members, so
/// that a misspelt member in a driver's command is reported.
#pragma once

#include "core/findings.hpp"
#include "ports/http.hpp"

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorhitch::standin_support
{

/// \return an answer with the body as JSON.
ports::http_response json_response(int status, const nlohmann::json& body);
/// \return {"error": \p text}.
ports::http_response error_response(int status, const std::string& text);

/// Reads the members of one JSON object. Readers of nested objects share its findings.
class object_reader
{
public:
    /// \param text a JSON document, or empty for {}
    explicit object_reader(const std::string& text);
    ~object_reader();
    object_reader(object_reader&&) noexcept;
    object_reader& operator=(object_reader&&) noexcept;

    /// \return whether the object has the member.
    bool has(const char* name) const;

    /// Reads a member. \p to is unchanged if the member is missing.
    /// \return whether the member is present and of the right type.
    bool read(const char* name, std::string& to);
    bool read(const char* name, bool& to);
    bool read(const char* name, int& to);
    bool read(const char* name, double& to);
    /// Accepts a number, or a string of digits as in protobuf's JSON encoding.
    bool read(const char* name, std::int64_t& to);
    bool read(const char* name, std::vector<std::string>& to);
    bool read_base64(const char* name, std::string& to);
    /// Reads a number from 0 to 1.
    bool read_share(const char* name, double& to);

    /// \return a reader of a nested object, or nothing if it is missing or not an object.
    std::optional<object_reader> object(const char* name);
    /// \return readers of the objects in an array; empty if it is missing or not an array.
    std::vector<object_reader> objects(const char* name);

    /// Adds a finding for a member.
    void add_finding(const char* name, const std::string& text);

    /// Adds a finding for each member that was not read, in this object and the nested ones.
    /// \return all findings.
    core::findings finish();

private:
    struct node;
    struct document;

    object_reader(std::shared_ptr<document> whole, node* here);
    const nlohmann::json* member(const char* name);
    template <class T, class Holds>
    bool read_as(const char* name, T& to, const char* expected, Holds holds);
    object_reader child(const nlohmann::json& value, const std::string& pointer);

    std::shared_ptr<document> whole_;
    node* here_ = nullptr;
};

/// Finishes reading a request body.
/// \return an answer with 400 and all findings, or nothing if there are none.
std::optional<ports::http_response> refusal(object_reader& body);

/// Finishes reading a control command.
/// \return an answer with 200, or with 400 and all findings.
ports::http_response control_answer(object_reader& command);

} // namespace camphorhitch::standin_support
