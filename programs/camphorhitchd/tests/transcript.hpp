/// \file
/// A session's transcript, and its comparison with the one on file.
#pragma once

#include "test_fleet.hpp"

#include <string>

namespace camphorhitch::daemon
{

/// An operator at one daemon, whose words and answers are written down.
class operator_session
{
public:
    operator_session(test_fleet& fleet, test_daemon& daemon);

    /// Runs statements; the transcript shows them and the answer.
    void say(const std::string& text);
    void apply(const std::string& shown, const std::string& text);
    void submit(const std::string& pool, const std::string& text);
    /// Lets time pass until \p holds. The transcript shows \p what and how it ended.
    void wait(const std::string& what, const std::function<bool()>& holds);
    /// Lets time pass until the table that \p statement shows contains \p part.
    void wait_shown(const std::string& statement, const std::string& part);
    /// A line of the test's own, as of what happens to the fleet.
    void note(const std::string& text);
    const std::string& text() const;

private:
    void put(const std::string& words, const told& answer);
    std::string command();

    test_fleet& fleet_;
    test_daemon& daemon_;
    std::string text_;
    int commands_ = 0;
};

/// Compares with tests/golden/NAME, or rewrites it when CAMPHORHITCH_UPDATE_GOLDEN=1.
/// \return the lines that differ, or an empty text.
std::string compare_with_golden(const std::string& name, const std::string& text);

} // namespace camphorhitch::daemon
