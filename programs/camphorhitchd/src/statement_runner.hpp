/// \file
/// Runs operators' statements: queries from the mirrored documents, commands as writes to them.
#pragma once

#include "context.hpp"
#include "operator_parts.hpp"

#include <functional>
#include <string>
#include <vector>

namespace camphorhitch::daemon
{

/// The statements of one call.
struct statement_batch
{
    std::string text;
    std::string name;    ///< where the text came from, for findings
    std::string command; ///< its id; a repeat has its effect once
};

class statement_runner
{
public:
    using callback = std::function<void(std::vector<statement_result>)>;

    statement_runner(context& c, operator_parts parts);

    void on_document(const ports::kv_entry& entry);
    void run(const statement_batch& batch, callback done);
    /// \return whether all that the batch asked for is in force everywhere or has ended.
    bool settled(const statement_batch& batch) const;

private:
    context& context_;
    operator_parts parts_;
};

} // namespace camphorhitch::daemon
