#include "statement_runner.hpp"

namespace camphorhitch::daemon
{

statement_runner::statement_runner(context& c, operator_parts parts) : context_(c), parts_(parts)
{
}

void statement_runner::on_document(const ports::kv_entry&)
{
}

void statement_runner::run(const statement_batch& batch, callback done)
{
    std::string out;
    for (const auto& pool : parts_.fleet.pools())
    {
        for (const auto& it : pool.document.hosts)
        {
            out += it.id + " " + pool.document.pool + " " +
                   std::string(core::name_of(model::host_state_names, it.state)) + "\n";
        }
    }
    done({{true, {}, out, "null"}});
    (void)batch;
}

bool statement_runner::settled(const statement_batch& batch) const
{
    return parts_.config.applied(batch.command);
}

} // namespace camphorhitch::daemon
