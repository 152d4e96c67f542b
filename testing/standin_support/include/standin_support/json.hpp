/// \file
/// JSON in requests and answers. A reader collects all findings and refuses what it doesn't know,
/// so that a driver's typing error is seen.
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

ports::http_response json_response(int status, const nlohmann::json& body);
/// \return {"error": \p text}.
ports::http_response error_response(int status, const std::string& text);

/// Reads the members of one JSON object. Readers of the objects inside share its findings.
class object_reader
{
public:
    /// \param text a whole document, or empty for {}.
    explicit object_reader(const std::string& text);
    ~object_reader();
    object_reader(object_reader&&) noexcept;
    object_reader& operator=(object_reader&&) noexcept;

    bool has(const char* name) const;

    /// Each read leaves \p to as it is when the member is missing.
    /// \return whether it was there and of the right type.
    bool read(const char* name, std::string& to);
    bool read(const char* name, bool& to);
    bool read(const char* name, int& to);
    bool read(const char* name, double& to);
    /// Takes a number, or a string of digits as protobuf's JSON writes it.
    bool read(const char* name, std::int64_t& to);
    bool read(const char* name, std::vector<std::string>& to);
    bool read_base64(const char* name, std::string& to);
    /// A number from 0 to 1.
    bool read_share(const char* name, double& to);

    std::optional<object_reader> object(const char* name);
    std::vector<object_reader> objects(const char* name);

    void add_finding(const char* name, const std::string& text);

    /// Adds a finding for each member that nobody read, in this object and those inside.
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

/// Finishes a body.
/// \return 400 with all findings, or nothing when there are none.
std::optional<ports::http_response> refusal(object_reader& body);

/// Finishes a control command.
/// \return 200, or 400 with all findings.
ports::http_response control_answer(object_reader& command);

} // namespace camphorhitch::standin_support
