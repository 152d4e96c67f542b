#include "atomic_counters.hpp"

namespace camphorhitch::peer
{

counters snapshot(const atomic_counters& from)
{
    counters c;
    c.bytes_in = from.bytes_in;
    c.bytes_out = from.bytes_out;
    c.messages_in = from.messages_in;
    c.messages_out = from.messages_out;
    for (std::size_t i = 0; i < call_kind_count; ++i)
    {
        c.sent[i] = from.sent[i];
        c.served[i] = from.served[i];
    }
    c.refused = from.refused;
    c.unreachable = from.unreachable;
    c.timed_out = from.timed_out;
    c.calls_over_limit = from.calls_over_limit;
    c.connection_attempts = from.connection_attempts;
    c.connections_accepted = from.connections_accepted;
    c.connections_rejected = from.connections_rejected;
    c.wrong_tokens = from.wrong_tokens;
    c.late_replies = from.late_replies;
    return c;
}

} // namespace camphorhitch::peer
