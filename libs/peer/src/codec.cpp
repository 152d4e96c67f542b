#include "codec.hpp"

#include "wire_values.hpp"

namespace camphorhitch::peer
{

void encode(const ports::ack& from, schema::Ack::Builder to)
{
    to.setAccepted(from.accepted);
}

ports::ack decode(schema::Ack::Reader from)
{
    return {from.getAccepted()};
}

void encode(const ports::heartbeat& from, schema::Heartbeat::Builder to)
{
    to.setMember(to_text(from.member));
    to.setIncarnation(to_text(from.incarnation));
    to.setEpoch(from.epoch);
    to.setConfigVersion(from.config_version);
    to.setStoreReachable(from.store_reachable);
    to.setSequence(from.sequence);
    to.setRosterDocument(to_data(from.roster_document));
    to.setConfigDocument(to_data(from.config_document));
    to.setFresh(from.fresh);
    encode_texts(from.unresponsive_peers, to.initSilentPeers(from.unresponsive_peers.size()));
}

ports::heartbeat decode(schema::Heartbeat::Reader from)
{
    ports::heartbeat to;
    to.member = from_text(from.getMember());
    to.incarnation = from_text(from.getIncarnation());
    to.epoch = from.getEpoch();
    to.config_version = from.getConfigVersion();
    to.store_reachable = from.getStoreReachable();
    to.sequence = from.getSequence();
    to.roster_document = from_data(from.getRosterDocument());
    to.config_document = from_data(from.getConfigDocument());
    to.fresh = from.getFresh();
    to.unresponsive_peers = decode_texts(from.getSilentPeers());
    return to;
}

void encode(const ports::permit_request& from, schema::PermitRequest::Builder to)
{
    to.setEpoch(from.epoch);
    to.setMember(to_text(from.member));
    to.setIncarnation(to_text(from.incarnation));
    to.setRequest(from.request);
    to.setPool(to_text(from.pool));
    to.setZone(to_text(from.zone));
    to.setKlass(to_enum<schema::RequestClass>(from.klass));
    to.setTimeLeftMs(from.time_left.count());
    to.setExpectedMs(from.expected_run_time.count());
    encode_texts(from.avoid, to.initAvoid(from.avoid.size()));
    to.setRetry(from.retry);
}

ports::permit_request decode(schema::PermitRequest::Reader from)
{
    ports::permit_request to;
    to.epoch = from.getEpoch();
    to.member = from_text(from.getMember());
    to.incarnation = from_text(from.getIncarnation());
    to.request = from.getRequest();
    to.pool = from_text(from.getPool());
    to.zone = from_text(from.getZone());
    to.klass = from_enum(
        from.getKlass(), ports::request_class::long_running, ports::request_class::long_running);
    to.time_left = from_ms(from.getTimeLeftMs());
    to.expected_run_time = from_ms(from.getExpectedMs());
    to.avoid = decode_texts(from.getAvoid());
    to.retry = from.getRetry();
    return to;
}

void encode(const ports::permit_reply& from, schema::PermitReply::Builder to)
{
    to.setVerdict(to_enum<schema::PermitVerdict>(from.verdict));
    to.setPermit(from.permit);
    to.setHost(to_text(from.host));
    to.setAddress(to_text(from.address));
    to.setReason(to_text(from.reason));
    to.setRetryAfterMs(from.retry_after.count());
    to.setWaitedMs(from.waited.count());
}

ports::permit_reply decode(schema::PermitReply::Reader from)
{
    ports::permit_reply to;
    to.verdict = from_enum(
        from.getVerdict(), ports::permit_verdict::not_ready, ports::permit_verdict::refused);
    to.permit = from.getPermit();
    to.host = from_text(from.getHost());
    to.address = from_text(from.getAddress());
    to.reason = from_text(from.getReason());
    to.retry_after = from_ms(from.getRetryAfterMs());
    to.waited = from_ms(from.getWaitedMs());
    return to;
}

void encode(const std::vector<ports::permit_return>& from, schema::PermitReturns::Builder to)
{
    auto list = to.initReturns(from.size());
    for (unsigned i = 0; i < list.size(); ++i)
    {
        const auto& it = from[i];
        list[i].setMember(to_text(it.member));
        list[i].setIncarnation(to_text(it.incarnation));
        list[i].setRequest(it.request);
        list[i].setPermit(it.permit);
        list[i].setPool(to_text(it.pool));
        list[i].setHost(to_text(it.host));
        list[i].setOutcome(to_enum<schema::PermitOutcome>(it.outcome));
        list[i].setElapsedUs(it.elapsed.count());
    }
}

std::vector<ports::permit_return> decode(schema::PermitReturns::Reader from)
{
    std::vector<ports::permit_return> to;
    for (auto it : from.getReturns())
    {
        auto& one = to.emplace_back();
        one.member = from_text(it.getMember());
        one.incarnation = from_text(it.getIncarnation());
        one.request = it.getRequest();
        one.permit = it.getPermit();
        one.pool = from_text(it.getPool());
        one.host = from_text(it.getHost());
        one.outcome = from_enum(
            it.getOutcome(), ports::permit_outcome::unanswered, ports::permit_outcome::unanswered);
        one.elapsed = from_us(it.getElapsedUs());
    }
    return to;
}

void encode(const ports::held_query& from, schema::HeldQuery::Builder to)
{
    to.setEpoch(from.epoch);
    to.setMember(to_text(from.member));
    encode_texts(from.pools, to.initPools(from.pools.size()));
}

ports::held_query decode(schema::HeldQuery::Reader from)
{
    return {from.getEpoch(), from_text(from.getMember()), decode_texts(from.getPools())};
}

void encode(const ports::held_reply& from, schema::HeldReply::Builder to)
{
    to.setEpoch(from.epoch);
    to.setMember(to_text(from.member));
    to.setIncarnation(to_text(from.incarnation));
    auto list = to.initPermits(from.permits.size());
    for (unsigned i = 0; i < list.size(); ++i)
    {
        const auto& it = from.permits[i];
        list[i].setPool(to_text(it.pool));
        list[i].setHost(to_text(it.host));
        list[i].setRequest(it.request);
        list[i].setAgeMs(it.age.count());
    }
}

ports::held_reply decode(schema::HeldReply::Reader from)
{
    ports::held_reply to;
    to.epoch = from.getEpoch();
    to.member = from_text(from.getMember());
    to.incarnation = from_text(from.getIncarnation());
    for (auto it : from.getPermits())
    {
        to.permits.push_back({from_text(it.getPool()),
            from_text(it.getHost()),
            it.getRequest(),
            from_ms(it.getAgeMs())});
    }
    return to;
}

void encode(const ports::explain_query& from, schema::ExplainQuery::Builder to)
{
    to.setKind(to_text(from.kind));
    to.setId(to_text(from.id));
}

ports::explain_query decode(schema::ExplainQuery::Reader from)
{
    return {from_text(from.getKind()), from_text(from.getId())};
}

void encode(const ports::explain_reply& from, schema::ExplainReply::Builder to)
{
    encode_texts(from.lines, to.initLines(from.lines.size()));
}

ports::explain_reply decode(schema::ExplainReply::Reader from)
{
    return {decode_texts(from.getLines())};
}

} // namespace camphorhitch::peer
