/// \file
/// Keys of the system's own records in the metadata store.
///
///   job/ID          a job as accepted; written once, by the node that accepted it, and removed in
///                   the write of its final state, so that a successor reads open jobs only
///   job/ID/cancel   the job's cancel; written once and removed together with job/ID
///   job/~handover   written at each change of the coordinator. It sorts after all job ids. Whoever
///                   follows the jobs receives it before, and whoever reads them page by page
///                   receives it after, every job that was accepted under that coordinator
///   state/ID        the job's progress; written only by the coordinator. It remains for a while
///                   after the job is final
///   tombstone/ID    a cancel that found no job; a job is stored only if it has none. Attached to a
///                   lease of the node that wrote it
///   coord/leader    name of the coordinator; attached to its lease. The key's revision is the
///                   fencing token
///   coord/leader-term  number of coordinators so far; never removed
///   coord/leader-slowed  name of the node that most recently handed leadership over because
///                   another node serves callers better
///   coord/runners/N  runners to which the coordinator may have given orders, whose bucket is N
///   coord/runners   the same for all runners, written by earlier versions; later ones mark it as
///                   divided
///   coord/demand    the coordinator's demand rates, run time estimates and accounts of shares
///   coord/pending   number of waiting jobs by queue, and the store revision up to which accepted
///                   jobs were included in the count; written only by the coordinator
///   coord/forecast  the coordinator's completion forecast by pool and run times by image; written
///                   only by the coordinator, together with coord/pending
///   coord/refused/MEMBER  work that this node has refused by the forecast, since its start;
///   written
///                   by the node, and removed by it or by the coordinator when nothing is refused
///                   any more
///   coord/wave/N    hosts of wave N whose maintenance has begun
///   relay/MEMBER    a node that relays orders to runners; attached to its lease
#pragma once

#include <cstdint>
#include <string>

namespace camphorhitch::hosted
{

inline const std::string job_prefix = "job/";
inline const std::string cancel_suffix = "/cancel";
inline const std::string handover_key = "job/~handover";
inline const std::string state_prefix = "state/";
inline const std::string tombstone_prefix = "tombstone/";
inline const std::string leader_prefix = "coord/leader";
inline const std::string leader_key = "coord/leader";
inline const std::string leader_term_key = "coord/leader-term";
inline const std::string leader_slowed_key = "coord/leader-slowed";
inline const std::string runners_key = "coord/runners";
inline const std::string runner_bucket_prefix = "coord/runners/";
inline const std::string demand_key = "coord/demand";
inline const std::string pending_key = "coord/pending";
inline const std::string forecast_key = "coord/forecast";
inline const std::string refused_prefix = "coord/refused/";
inline const std::string relay_prefix = "relay/";

inline std::string job_key(const std::string& id)
{
    return job_prefix + id;
}

inline std::string cancel_key(const std::string& id)
{
    return job_prefix + id + cancel_suffix;
}

inline std::string state_key(const std::string& id)
{
    return state_prefix + id;
}

inline std::string tombstone_key(const std::string& id)
{
    return tombstone_prefix + id;
}

inline std::string relay_key(const std::string& member)
{
    return relay_prefix + member;
}

inline std::string refused_key(const std::string& member)
{
    return refused_prefix + member;
}

inline std::string wave_record_key(std::int64_t wave)
{
    return "coord/wave/" + std::to_string(wave);
}

} // namespace camphorhitch::hosted
