/// \file
/// Keys of the system's own records in the metadata store.
///
///   job/ID          a job as accepted; written once, by the entry host that took it, and removed
///                   with the write of its final state, so that a successor reads open jobs only
///   job/ID/cancel   its cancel; as job/ID
///   job/~handover   written with each change of the coordinator; stands after all ids, so that
///                   whoever follows or reads the jobs meets it before, or after, every job that
///                   was accepted under that coordinator
///   state/ID        its progress; written by the coordinator only. Stays for a while
///                   when the job is final
///   coord/leader    who coordinates; lives with its lease. Its revision is the fencing token
///   coord/leader-term  counts coordinators; never removed
///   coord/leader-slowed  the node that handed the lead over last, since another serves better
///   coord/runners   runners that the coordinator may have given orders to
///   coord/demand    what the coordinator has learnt of the demand and of run times
///   coord/pending   jobs that wait, by queue, and the store revision up to which accepted jobs
///                   were known when they were counted; written by the coordinator only
///   coord/wave/N    hosts of wave N whose maintenance has begun
///   relay/MEMBER    a node that carries orders to runners out; lives with its lease
#pragma once

#include <cstdint>
#include <string>

namespace camphorhitch::hosted
{

inline const std::string job_prefix = "job/";
inline const std::string cancel_suffix = "/cancel";
inline const std::string handover_key = "job/~handover";
inline const std::string state_prefix = "state/";
inline const std::string leader_prefix = "coord/leader";
inline const std::string leader_key = "coord/leader";
inline const std::string leader_term_key = "coord/leader-term";
inline const std::string leader_slowed_key = "coord/leader-slowed";
inline const std::string runners_key = "coord/runners";
inline const std::string demand_key = "coord/demand";
inline const std::string pending_key = "coord/pending";
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

inline std::string relay_key(const std::string& member)
{
    return relay_prefix + member;
}

inline std::string wave_record_key(std::int64_t wave)
{
    return "coord/wave/" + std::to_string(wave);
}

} // namespace camphorhitch::hosted
