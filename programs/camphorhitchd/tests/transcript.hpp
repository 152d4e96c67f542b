/// \file
/// Records the transcript of an operator's session and compares it with a golden file.
#pragma once

#include "test_fleet.hpp"

#include <string>

namespace camphorhitch::daemon
{

/// An operator's session at one daemon; records statements and answers.
class operator_session
{
public:
    operator_session(test_fleet& fleet, test_daemon& daemon);

    /// Runs statements and records them with the answer.
    void execute(const std::string& text);
    void apply(const std::string& shown, const std::string& text);
    void submit(const std::string& pool, const std::string& text);
    /// Advances time until \p holds or a time limit passes, and records \p what and the result.
    void wait(const std::string& what, const std::function<bool()>& holds);
    /// Advances time until the table that \p statement shows contains \p part, or a time limit
    /// passes.
    void wait_shown(const std::string& statement, const std::string& part);
    /// Records a remark of the test, such as an event in the fleet.
    void note(const std::string& text);
    const std::string& text() const;

private:
    void append(const std::string& entry, const operator_answer& answer);
    std::string command();

    test_fleet& fleet_;
    test_daemon& daemon_;
    std::string text_;
    int commands_ = 0;
};

/// Compares with tests/golden/NAME, or rewrites it when CAMPHORHITCH_UPDATE_GOLDEN=1.
/// \return the lines that differ, or an empty string.
std::string compare_with_golden(const std::string& name, const std::string& text);

} // namespace camphorhitch::daemon
