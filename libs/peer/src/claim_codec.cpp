#include "codec.hpp"
#include "wire_values.hpp"

namespace camphorhitch::peer
{

namespace
{

void encode_entry(const ports::claim_entry& from, schema::ClaimEntry::Builder to)
{
    to.setKey(to_text(from.key));
    to.setBodyHash(from.body_hash);
    to.setState(to_enum<schema::ClaimState>(from.state));
    to.setExecutor(to_text(from.executor));
    to.setAttempt(from.attempt);
    to.setAgeMs(from.age.count());
    to.setStatus(from.status);
    auto fields = to.initFields(from.fields.size());
    for (unsigned i = 0; i < fields.size(); ++i)
    {
        fields[i].setName(to_text(from.fields[i].first));
        fields[i].setValue(to_text(from.fields[i].second));
    }
    to.setBody(to_data(from.body));
    to.setAnswerKept(from.answer_kept);
    to.setEpoch(from.epoch);
    to.setSequence(from.sequence);
}

ports::claim_entry decode_entry(schema::ClaimEntry::Reader from)
{
    ports::claim_entry to;
    to.key = from_text(from.getKey());
    to.body_hash = from.getBodyHash();
    to.state =
        from_enum(from.getState(), ports::claim_state::released, ports::claim_state::unknown);
    to.executor = from_text(from.getExecutor());
    to.attempt = from.getAttempt();
    to.age = from_ms(from.getAgeMs());
    to.status = from.getStatus();
    for (auto it : from.getFields())
    {
        to.fields.emplace_back(from_text(it.getName()), from_text(it.getValue()));
    }
    to.body = from_data(from.getBody());
    to.answer_kept = from.getAnswerKept();
    to.epoch = from.getEpoch();
    to.sequence = from.getSequence();
    return to;
}

} // namespace

void encode(const ports::claim_request& from, schema::ClaimRequest::Builder to)
{
    to.setEpoch(from.epoch);
    to.setKey(to_text(from.key));
    to.setBodyHash(from.body_hash);
    to.setExecutor(to_text(from.executor));
    to.setAttempt(from.attempt);
}

ports::claim_request decode(schema::ClaimRequest::Reader from)
{
    return {from.getEpoch(),
        from_text(from.getKey()),
        from.getBodyHash(),
        from_text(from.getExecutor()),
        from.getAttempt()};
}

void encode(const ports::claim_reply& from, schema::ClaimReply::Builder to)
{
    to.setVerdict(to_enum<schema::ClaimVerdict>(from.verdict));
    encode_entry(from.entry, to.initEntry());
    to.setRetryAfterMs(from.retry_after.count());
}

ports::claim_reply decode(schema::ClaimReply::Reader from)
{
    const auto verdict =
        from_enum(from.getVerdict(), ports::claim_verdict::full, ports::claim_verdict::not_ready);
    return {verdict, decode_entry(from.getEntry()), from_ms(from.getRetryAfterMs())};
}

void encode(const ports::claim_finish& from, schema::ClaimFinish::Builder to)
{
    to.setEpoch(from.epoch);
    to.setKey(to_text(from.key));
    to.setExecutor(to_text(from.executor));
    to.setAttempt(from.attempt);
    to.setNotRun(from.not_run);
    encode_entry(from.entry, to.initEntry());
}

ports::claim_finish decode(schema::ClaimFinish::Reader from)
{
    return {from.getEpoch(),
        from_text(from.getKey()),
        from_text(from.getExecutor()),
        from.getAttempt(),
        from.getNotRun(),
        decode_entry(from.getEntry())};
}

void encode(const ports::claim_copy& from, schema::ClaimCopy::Builder to)
{
    to.setEpoch(from.epoch);
    to.setSlot(from.slot);
    to.setErase(from.erase);
    encode_entry(from.entry, to.initEntry());
}

ports::claim_copy decode(schema::ClaimCopy::Reader from)
{
    return {from.getEpoch(), from.getSlot(), from.getErase(), decode_entry(from.getEntry())};
}

void encode(const ports::slot_pull& from, schema::SlotPull::Builder to)
{
    to.setEpoch(from.epoch);
    to.setMember(to_text(from.member));
    auto list = to.initSlots(from.slots.size());
    for (unsigned i = 0; i < list.size(); ++i)
    {
        list.set(i, from.slots[i]);
    }
}

ports::slot_pull decode(schema::SlotPull::Reader from)
{
    ports::slot_pull to;
    to.epoch = from.getEpoch();
    to.member = from_text(from.getMember());
    for (auto it : from.getSlots())
    {
        to.slots.push_back(it);
    }
    return to;
}

void encode(const ports::slot_pull_reply& from, schema::SlotPullReply::Builder to)
{
    to.setAdopted(from.adopted);
    to.setMember(to_text(from.member));
    to.setIncarnation(to_text(from.incarnation));
    auto list = to.initSlots(from.slots.size());
    for (unsigned i = 0; i < list.size(); ++i)
    {
        const auto& it = from.slots[i];
        list[i].setSlot(it.slot);
        list[i].setCompleteThrough(it.complete_through);
        list[i].setRefusedThrough(it.refused_through);
        list[i].setQuarantinedThrough(it.quarantined_through);
        list[i].setQuarantineLeftMs(it.quarantine_left.count());
        auto entries = list[i].initEntries(it.entries.size());
        for (unsigned k = 0; k < entries.size(); ++k)
        {
            encode_entry(it.entries[k], entries[k]);
        }
    }
}

ports::slot_pull_reply decode(schema::SlotPullReply::Reader from)
{
    ports::slot_pull_reply to;
    to.adopted = from.getAdopted();
    to.member = from_text(from.getMember());
    to.incarnation = from_text(from.getIncarnation());
    for (auto it : from.getSlots())
    {
        auto& one = to.slots.emplace_back();
        one.slot = it.getSlot();
        one.complete_through = it.getCompleteThrough();
        one.refused_through = it.getRefusedThrough();
        one.quarantined_through = it.getQuarantinedThrough();
        one.quarantine_left = from_ms(it.getQuarantineLeftMs());
        for (auto entry : it.getEntries())
        {
            one.entries.push_back(decode_entry(entry));
        }
    }
    return to;
}

} // namespace camphorhitch::peer
