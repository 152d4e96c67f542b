#include "tally.hpp"

namespace camphorhitch::peer
{

counters snapshot(const tally& t)
{
    counters c;
    c.bytes_in = t.bytes_in;
    c.bytes_out = t.bytes_out;
    c.messages_in = t.messages_in;
    c.messages_out = t.messages_out;
    for (std::size_t i = 0; i < call_kind_count; ++i)
    {
        c.sent[i] = t.sent[i];
        c.served[i] = t.served[i];
    }
    c.refused = t.refused;
    c.unreachable = t.unreachable;
    c.timed_out = t.timed_out;
    c.not_taken = t.not_taken;
    c.connects = t.connects;
    c.accepted = t.accepted;
    c.turned_away = t.turned_away;
    c.wrong_tokens = t.wrong_tokens;
    c.late_replies = t.late_replies;
    return c;
}

} // namespace camphorhitch::peer
