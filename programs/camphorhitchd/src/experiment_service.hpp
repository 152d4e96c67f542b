/// \file
/// Runs the experiments that this member owns: their next write, and their samples.
#pragma once

#include "context.hpp"
#include "experiment/lifecycle.hpp"
#include "fleet_service.hpp"
#include "job_service.hpp"
#include "language/table.hpp"
#include "membership_service.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace camphorhitch::daemon
{

class experiment_service
{
public:
    experiment_service(
        context& c, membership_service& members, fleet_service& fleet, job_service& jobs);

    void start();
    void on_document(const ports::kv_entry& entry);

    /// Starts an experiment; \p done is told the document's text for people, or why not.
    void begin(const experiment::start_request& request,
        std::function<void(core::result<std::string>)> done);
    void stop(const std::string& id,
        const std::string& command,
        std::function<void(core::result<core::done>)> done);

    const experiment::experiment_document* find(const std::string& id) const;
    /// \return the report as text, or nothing.
    std::optional<std::string> report(const std::string& id) const;
    language::table make_table() const;

private:
    struct seen_pool
    {
        std::map<std::string, std::int64_t> ownership; ///< by host
        int job_moves = 0;
    };
    struct sampling
    {
        core::mono_time last{};
        std::set<std::string> ended_waves;
        std::set<std::string> halted_waves;
        std::map<std::string, seen_pool> pools;
        std::uint64_t number = 0;
    };

    void round();
    void step(const experiment::experiment_document& d);
    void take_sample(const experiment::experiment_document& d);
    experiment::pool_sample sample_of(const std::string& pool, sampling& s) const;
    void write(const std::string& key, const std::string& text, ports::revision expected);

    context& context_;
    membership_service& members_;
    fleet_service& fleet_;
    job_service& jobs_;
    std::map<std::string, experiment::experiment_document> documents_;
    std::map<std::string, sampling> samples_;
    std::set<std::string> writing_;
};

} // namespace camphorhitch::daemon
