#include "entry_state.hpp"

namespace camphorhitch::hosted
{

using ports::kv_status;

namespace
{

bool is_refusal(kv_status s)
{
    return s == kv_status::unavailable || s == kv_status::rejected;
}

/// Sent to a store that answers nothing, a write may take effect seconds later or never, and its
/// caller learns neither: it must not hand the request in anew. Not sent, it certainly has no
/// effect, and the caller may come back.
/// \return whether the caller was told so.
bool refuse_unsent(const std::shared_ptr<entry_state>& state, pending_write& w)
{
    if (w.may_have_effect || !is_store_silent(state->ctx))
    {
        return false;
    }
    w.told = true;
    w.done(kv_status::unavailable, true);
    return true;
}

/// The change is idempotent (its keys are created once), so repeating it after a lost answer tells
/// which of the tries took effect: the repeat meets its conflict.
void try_write(const std::shared_ptr<entry_state>& state, const std::shared_ptr<pending_write>& w)
{
    if (refuse_unsent(state, *w))
    {
        return;
    }
    w->in_flight = true;
    state->ctx.store.commit(w->change,
        [state, w](const ports::commit_result& result)
        {
            w->in_flight = false;
            if (w->told)
            {
                return;
            }
            if (result.status == kv_status::ok || result.status == kv_status::conflict)
            {
                w->told = true;
                w->done(result.status, true);
                return;
            }
            w->may_have_effect = w->may_have_effect || result.status == kv_status::unknown;
            w->refusals += is_refusal(result.status) ? 1 : 0;
            const bool give_up =
                !w->may_have_effect && w->refusals >= state->settings.most_refusals;
            if (give_up || !state->has_time(w->deadline))
            {
                w->told = true;
                w->done(result.status, !w->may_have_effect);
                return;
            }
            state->again(
                [state, w]
                {
                    if (!w->told)
                    {
                        try_write(state, w);
                    }
                });
        });
}

} // namespace

void begin_write(const std::shared_ptr<entry_state>& state, const std::shared_ptr<pending_write>& w)
{
    state->at_deadline(w->deadline,
        [w]
        {
            if (!w->told)
            {
                w->told = true;
                w->done(kv_status::unknown, !w->may_have_effect && !w->in_flight);
            }
        });
    try_write(state, w);
}

} // namespace camphorhitch::hosted
