#include "world.hpp"

#include "claims/claim_table.hpp"
#include "membership/freshness.hpp"
#include "membership/roster_logic.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace camphorhitch::claims::testing
{

namespace
{

using core::millis;
using core::mono_time;
using membership::member_list;
using model::member_record;
using model::roster_document;
using ports::peer_status;
using task = std::function<void()>;

constexpr millis call_timeout{800};
constexpr millis tick_interval{100};
constexpr millis lease_ttl{3000};
/// A new key comes into use this often; most calls are for one of the newest eight.
constexpr millis key_interval{200};

struct beat_message
{
    ports::heartbeat beat;
    std::optional<roster_document> roster; ///< for a peer that is behind
};

struct running_attempt
{
    attempt a;
    int body = 0;
    mono_time arrived{};
};

struct process
{
    member_record who;
    bool alive = true;
    mono_time paused_until{};
    int ticks = 0;
    int failed_reads = 0;
    bool leaving = false;
    mono_time leave_by{};
    membership::freshness_state freshness;
    membership::roster_state roster;
    claim_table claims;
    std::map<std::uint64_t, running_attempt> attempts;
    std::map<std::uint64_t, std::function<void(ports::claim_reply)>> claim_tickets;
    std::map<std::uint64_t, std::function<void(ports::ack)>> finish_tickets;
    std::uint64_t last_ticket = 0;
};

struct store
{
    std::optional<roster_document> roster;
    ports::revision revision = 0;
    std::map<std::string, std::pair<member_record, mono_time>> leases;
    mono_time down_until{};
    mono_time forgets_until{};
};

struct event
{
    mono_time at{};
    std::uint64_t order = 0;
    process* on = nullptr; ///< null: outside of all processes
    task run;
    bool operator<(const event& other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

struct store_view
{
    bool ok = false;
    std::optional<roster_document> roster;
    ports::revision revision = 0;
    member_list leased;
};

class world
{
public:
    explicit world(const world_options& options) : options_{options}, random_{options.seed}
    {
        beat_every_ = 2 + draw(6);
        read_every_ = 3 + draw(7);
        // Long freshness leaves the work to the holders' agreement, a short one to freshness.
        freshness_.freshness = tick_interval * (2 * read_every_) + millis{draw(2500)};
        freshness_.store_window = freshness_.freshness / 2;
        freshness_.outage_grace = freshness_.freshness + millis{draw(4000)};
        settings_.key_memory = world_key_memory;
        settings_.permit_ttl = executor_.permit_ttl = millis{300 + draw(900)};
        settings_.longest_request = millis{2000};
        settings_.keys_per_slot = 1;
        settings_.pull_patience = millis{1500};
        settings_.stop_bound = freshness_.outage_grace + freshness_.margin;
        executor_.key_memory = world_key_memory;
        executor_.finish_patience = millis{6000};
    }

    world_result run()
    {
        for (int n = 0; n < options_.members; ++n)
        {
            at(millis{draw(150)}, [this] { start("h" + std::to_string(++hosts_)); });
        }
        for (const auto& it : options_.faults)
        {
            at(millis{it.at_ms}, [this, it] { cause(it); });
        }
        at(millis{800}, [this] { callers(); });
        const mono_time end{millis{options_.run_ms}};
        while (!events_.empty() && events_.top().at < end)
        {
            step();
        }
        result_.counts.sent = result_.seen.sent.size();
        result_.counts.epochs = store_.roster ? store_.roster->epoch : 0;
        return std::move(result_);
    }

private:
    // ---- time, chance and the bag of messages ----

    int draw(int below)
    {
        return static_cast<int>(random_() % static_cast<std::uint64_t>(std::max(below, 1)));
    }

    bool chance(int percent)
    {
        return draw(100) < percent;
    }

    void at(millis delay, task run, process* on = nullptr)
    {
        events_.push({now_ + delay, ++order_, on, std::move(run)});
    }

    void step()
    {
        auto it = events_.top();
        events_.pop();
        now_ = it.at;
        if (it.on != nullptr && !it.on->alive)
        {
            return;
        }
        if (it.on != nullptr && it.on->paused_until > now_)
        {
            // On waking, what piled up comes in any order.
            it.at = it.on->paused_until + millis{draw(4)};
            events_.push(std::move(it));
            return;
        }
        result_.counts.steps += it.on != nullptr ? 1 : 0;
        it.run();
    }

    millis delay()
    {
        const bool bad = bad_until_ > now_;
        return millis{chance(bad ? 30 : 3) ? draw(1500) : 1 + draw(5)};
    }

    bool is_lost(const std::string& from, const std::string& to)
    {
        const bool halves = split_until_ > now_ && side_of(from) != side_of(to);
        const auto is_cut = [&](const std::string& host)
        {
            return cut_peers_.contains(host) && cut_peers_[host] > now_;
        };
        return halves || is_cut(from) || is_cut(to) || chance(bad_until_ > now_ ? 15 : 1);
    }

    bool is_cut_from_store(const std::string& host)
    {
        const bool half = split_until_ > now_ && split_store_ && side_of(host) == 0;
        return half || (cut_store_.contains(host) && cut_store_[host] > now_);
    }

    int side_of(const std::string& host) const
    {
        return static_cast<int>(std::hash<std::string>{}(host) % 2);
    }

    /// A call to whichever process listens at the address of \p to.
    template <class Reply>
    void call(process& from,
        const member_record& to,
        std::function<void(process&, std::function<void(Reply)>)> serve,
        std::function<void(peer_status, Reply)> done)
    {
        auto* caller = &from;
        auto ended = std::make_shared<bool>(false);
        auto end = [=](peer_status status, Reply reply)
        {
            if (!std::exchange(*ended, true))
            {
                done(status, std::move(reply));
            }
        };
        if (to.id == from.who.id)
        {
            serve(from, [=](Reply reply) { end(peer_status::ok, std::move(reply)); });
            return;
        }
        at(
            call_timeout, [=] { end(peer_status::unreachable, Reply{}); }, caller);
        const int copies = chance(3) ? 2 : 1;
        for (int n = 0; n < copies; ++n)
        {
            if (!is_lost(from.who.id, to.id))
            {
                at(delay(), [=, this] { arrive<Reply>(caller, to, serve, end); });
            }
        }
    }

    template <class Reply, class Serve, class End>
    void arrive(process* caller, const member_record& to, Serve serve, End end)
    {
        auto* callee = listening_.contains(to.id) ? listening_[to.id] : nullptr;
        if (callee == nullptr)
        {
            if (!gone_hosts_.contains(to.id))
            {
                at(
                    delay(), [=] { end(peer_status::refused, Reply{}); }, caller);
            }
            return;
        }
        const auto reply = [=, this](Reply answer)
        {
            if (!is_lost(to.id, caller->who.id))
            {
                at(
                    delay(), [=] { end(peer_status::ok, answer); }, caller);
            }
        };
        at(
            millis{0}, [=] { serve(*callee, reply); }, callee);
    }

    // ---- processes and faults ----

    void start(const std::string& id)
    {
        processes_.push_back(std::make_unique<process>());
        auto& p = *processes_.back();
        const auto zone = "z" + std::to_string(std::hash<std::string>{}(id) % 3);
        p.who = {id, "i" + std::to_string(processes_.size()), id, zone};
        p.freshness.settings = freshness_;
        p.freshness.self = p.roster.self = p.claims.self = p.who;
        p.claims.settings = settings_;
        p.roster.settings.silence_limit = millis{1000};
        p.roster.settings.return_after = millis{2000};
        p.roster.settings.store_settle = millis{2500};
        listening_[id] = &p;
        tick(p);
    }

    void kill(process& p)
    {
        p.alive = false;
        listening_.erase(p.who.id);
    }

    void start_new_host()
    {
        at(millis{draw(2000)}, [this] { start("h" + std::to_string(++hosts_)); });
    }

    void cause(const fault& it)
    {
        const auto until = now_ + millis{it.length_ms};
        if (listening_.empty())
        {
            return;
        }
        auto chosen = listening_.begin();
        std::advance(chosen, it.host % static_cast<int>(listening_.size()));
        auto& p = *chosen->second;
        const auto id = p.who.id;
        switch (it.kind)
        {
        case fault_kind::pause:
            p.paused_until = std::max(p.paused_until, until);
            break;
        case fault_kind::restart:
            kill(p);
            at(millis{it.length_ms / 4}, [this, id] { start(id); });
            break;
        case fault_kind::replace:
            kill(p);
            gone_hosts_.insert(id);
            start_new_host();
            break;
        case fault_kind::leave:
            p.leaving = true;
            p.leave_by = now_ + millis{4000};
            membership::leave(p.roster);
            start_new_host();
            break;
        case fault_kind::store_outage:
            store_.down_until = until;
            break;
        case fault_kind::store_forgets:
            store_.forgets_until = until;
            break;
        case fault_kind::cut_from_peers:
            cut_peers_[id] = until;
            break;
        case fault_kind::cut_from_store:
            cut_store_[id] = until;
            break;
        case fault_kind::isolate:
            cut_peers_[id] = until;
            cut_store_[id] = until;
            break;
        case fault_kind::split:
            split_until_ = until;
            split_store_ = it.length_ms % 2 == 0;
            break;
        case fault_kind::bad_network:
            bad_until_ = until;
            break;
        case fault_kind::reshuffle:
            for (int n = 0; n <= it.length_ms % 4; ++n)
            {
                at(millis{n * draw(400)}, [this] { reshuffle(); });
            }
            break;
        default:
            start_new_host();
        }
    }

    void reshuffle()
    {
        const auto leased = view_store().leased;
        if (!store_.roster || leased.empty())
        {
            return;
        }
        auto next = *store_.roster;
        next.history.insert(next.history.begin(), {next.epoch, next.members});
        next.history.resize(std::min<std::size_t>(next.history.size(), 16));
        ++next.epoch;
        const auto& who = leased[static_cast<std::size_t>(draw(static_cast<int>(leased.size())))];
        const auto removed =
            std::erase_if(next.members, [&](const auto& m) { return m.id == who.id; });
        if (removed == 0)
        {
            next.members.push_back(who);
        }
        store_.roster = next;
        ++store_.revision;
    }

    // ---- the store ----

    /// \param op runs at the store; \param done runs at the process, with whether an answer came.
    void at_store(process& p,
        const std::function<store_view()>& op,
        const std::function<void(store_view)>& done)
    {
        auto* caller = &p;
        at(delay(),
            [=, this]
            {
                const bool reached =
                    store_.down_until <= now_ && !is_cut_from_store(caller->who.id);
                const auto view = reached ? op() : store_view{};
                const bool answered = reached && !(store_.forgets_until > now_ && chance(50));
                const auto wait = answered ? delay() : call_timeout;
                at(
                    wait, [=] { done(answered ? view : store_view{}); }, caller);
            });
    }

    store_view view_store()
    {
        std::erase_if(store_.leases, [&](const auto& it) { return it.second.second < now_; });
        store_view view{true, store_.roster, store_.revision, {}};
        for (const auto& [id, lease] : store_.leases)
        {
            view.leased.push_back(lease.first);
        }
        return view;
    }

    void read_store(process& p)
    {
        const auto started = now_;
        const auto ticket = p.roster.read_ticket;
        const auto who = p.who;
        const auto read = [this, who]
        {
            view_store();
            const auto it = store_.leases.find(who.id);
            if (it != store_.leases.end() && membership::same_process(it->second.first, who))
            {
                it->second.second = now_ + lease_ttl;
            }
            return view_store();
        };
        at_store(p,
            read,
            [this, &p, started, ticket](const store_view& view)
            { on_store_read(p, view, started, ticket); });
    }

    void on_store_read(process& p, const store_view& view, mono_time started, std::uint64_t ticket)
    {
        if (!view.ok)
        {
            ++p.failed_reads;
            if (p.failed_reads > 2)
            {
                membership::on_store_lost(p.roster);
            }
            return;
        }
        p.failed_reads = 0;
        if (view.roster)
        {
            adopt(p, *view.roster);
            membership::on_store_confirmed(p.freshness, view.roster->epoch, started);
        }
        membership::on_roster(p.roster, view.roster, view.revision, now_);
        membership::on_leased(p.roster, view.leased, now_);
        membership::on_reread(p.roster, ticket, now_);
    }

    void act(process& p, const membership::roster_action& action)
    {
        if (std::holds_alternative<membership::reread_store>(action))
        {
            read_store(p);
        }
        else if (std::holds_alternative<membership::register_self>(action))
        {
            const auto who = p.who;
            const auto write = [this, who]
            {
                store_.leases[who.id] = {who, now_ + lease_ttl};
                return view_store();
            };
            at_store(p, write, [this, &p](const store_view&) { read_store(p); });
        }
        else
        {
            const auto proposal = std::get<membership::propose_roster>(action);
            const auto write = [this, proposal]
            {
                if (store_.revision == proposal.expected)
                {
                    store_.roster = proposal.next;
                    ++store_.revision;
                }
                return view_store();
            };
            at_store(p, write, [this, &p](const store_view&) { read_store(p); });
        }
    }

    // ---- heartbeats ----

    beat_message beat_of(const process& p, ports::epoch_number known)
    {
        beat_message message;
        message.beat.member = p.who.id;
        message.beat.incarnation = p.who.incarnation;
        message.beat.epoch = p.freshness.epoch;
        message.beat.store_reachable = membership::is_store_reachable(p.freshness, now_);
        message.beat.silent_peers = membership::silent_peers(p.roster, now_);
        if (known < p.freshness.epoch)
        {
            message.roster = p.claims.roster;
        }
        return message;
    }

    void hear(process& p, const beat_message& message)
    {
        const auto& beat = message.beat;
        membership::on_epoch_heard(p.freshness, beat.epoch);
        membership::on_heard(
            p.roster, {beat.member, beat.incarnation, {}, {}}, beat.silent_peers, now_);
        if (message.roster)
        {
            adopt(p, *message.roster);
        }
    }

    void send_beats(process& p)
    {
        std::map<std::string, member_record> peers;
        for (const auto& it : p.roster.leased)
        {
            peers[it.id] = it;
        }
        for (const auto& it : p.claims.roster.members)
        {
            peers.try_emplace(it.id, it);
        }
        peers.erase(p.who.id);
        for (const auto& entry : peers)
        {
            const auto& peer = entry.second;
            const auto started = now_;
            const auto message = beat_of(p, p.freshness.epoch - 1);
            call<beat_message>(
                p,
                peer,
                [this, message](process& callee, const std::function<void(beat_message)>& reply)
                {
                    hear(callee, message);
                    reply(beat_of(callee, message.beat.epoch));
                },
                [this, &p, peer, started](peer_status status, const beat_message& reply)
                {
                    if (status == peer_status::refused)
                    {
                        membership::on_refused(p.roster, peer, now_);
                    }
                    if (status == peer_status::ok)
                    {
                        hear(p, reply);
                        membership::on_peer_confirmed(p.freshness, reply.beat, started);
                    }
                });
        }
    }

    void adopt(process& p, const roster_document& roster)
    {
        membership::on_roster_adopted(p.freshness, roster);
        act(p, claims::on_roster(p.claims, roster, now_));
    }

    void tick(process& p)
    {
        ++p.ticks;
        const double random = draw(1000) / 1000.0;
        for (const auto& it : membership::on_tick(p.roster, random, now_))
        {
            act(p, it);
        }
        if (p.ticks % beat_every_ == 0)
        {
            send_beats(p);
        }
        if (p.ticks % read_every_ == 0)
        {
            read_store(p);
        }
        act(p, claims::on_tick(p.claims, now_));
        const bool left =
            p.leaving && !membership::contains_process(p.claims.roster.members, p.who);
        if (p.leaving && ((left && is_handed_over(p.claims)) || now_ > p.leave_by))
        {
            store_.leases.erase(p.who.id);
            kill(p);
            return;
        }
        at(
            tick_interval, [this, &p] { tick(p); }, &p);
    }

    bool is_fresh(const process& p) const
    {
        return membership::is_fresh(p.freshness, now_);
    }

    // ---- holders ----

    void act(process& p, const claim_actions& actions)
    {
        for (const auto& it : actions)
        {
            std::visit([&](const auto& action) { act_one(p, action); }, it);
        }
    }

    void act_one(process& p, const reply_claim& action)
    {
        const auto reply = p.claim_tickets.extract(action.ticket);
        reply.mapped()(action.reply);
    }

    void act_one(process& p, const reply_finish& action)
    {
        const auto reply = p.finish_tickets.extract(action.ticket);
        reply.mapped()(action.reply);
    }

    void act_one(process& p, const send_copy& action)
    {
        call<ports::ack>(
            p,
            action.to,
            [this, copy = action.copy](
                process& callee, const std::function<void(ports::ack)>& reply)
            { reply(on_copy(callee.claims, copy, now_)); },
            [this, &p, number = action.number](peer_status status, ports::ack ack)
            { act(p, on_copy_result(p.claims, number, status, ack, is_fresh(p))); });
    }

    void act_one(process& p, const send_pull& action)
    {
        call<ports::slot_pull_reply>(
            p,
            action.to,
            [this, pull = action.pull](
                process& callee, const std::function<void(ports::slot_pull_reply)>& reply)
            { reply(on_pull(callee.claims, pull, now_)); },
            [this, &p, action](peer_status status, const ports::slot_pull_reply& reply)
            { act(p, on_pull_result(p.claims, action, status, reply, now_)); });
    }

    // ---- executors, targets and callers ----

    void submit(process& p, const std::string& key, int body)
    {
        const auto number = ++p.last_ticket;
        auto& it = p.attempts[number];
        it.body = body;
        it.arrived = now_;
        it.a.key = key;
        it.a.body_hash = static_cast<std::uint64_t>(body);
        it.a.executor = membership::process_name(p.who);
        it.a.number = number;
        it.a.deadline = now_ + millis{2500};
        ask(p, number);
    }

    const member_record* first_holder(const process& p, const std::string& key)
    {
        return membership::claim_holders(p.claims.roster.members, membership::slot_of_key(key))
            .first;
    }

    void ask(process& p, std::uint64_t number)
    {
        auto& it = p.attempts.at(number);
        const auto started = now_;
        const auto* first = first_holder(p, it.a.key);
        if (it.a.phase == attempt_phase::closed)
        {
            return;
        }
        if (first == nullptr)
        {
            follow(p,
                number,
                on_claim_reply(it.a, executor_, peer_status::refused, {}, started, now_));
            return;
        }
        call<ports::claim_reply>(
            p,
            *first,
            [this, request = make_claim(it.a, p.claims.roster.epoch)](
                process& callee, const std::function<void(ports::claim_reply)>& reply)
            {
                const auto ticket = ++callee.last_ticket;
                callee.claim_tickets[ticket] = reply;
                act(callee, on_claim(callee.claims, ticket, request, is_fresh(callee), now_));
            },
            [this, &p, number, started](peer_status status, const ports::claim_reply& reply)
            {
                auto& a = p.attempts.at(number).a;
                follow(p, number, on_claim_reply(a, executor_, status, reply, started, now_));
            });
    }

    void follow(process& p, std::uint64_t number, const claim_step& next)
    {
        if (const auto* again = std::get_if<ask_again>(&next))
        {
            at(
                again->delay, [this, &p, number] { ask(p, number); }, &p);
        }
        else if (std::holds_alternative<proceed>(next))
        {
            const auto wait = millis{chance(10) ? draw(900) : draw(30)};
            at(
                wait, [this, &p, number] { send(p, number); }, &p);
        }
        else if (const auto* told = std::get_if<outcome_report>(&next))
        {
            tell(p, number, *told);
        }
        else
        {
            tell_end(p, number);
        }
    }

    void send(process& p, std::uint64_t number)
    {
        auto& it = p.attempts.at(number);
        if (it.a.phase != attempt_phase::granted)
        {
            return;
        }
        const bool fresh = is_fresh(p);
        const bool no_permit = chance(8) || now_ >= it.a.deadline;
        if (no_permit)
        {
            tell(p, number, give_up(it.a, executor_, outcome_reason::given_up, now_));
            return;
        }
        if (!may_send(it.a, executor_, fresh, now_))
        {
            at(
                millis{50}, [this, &p, number] { ask(p, number); }, &p);
            return;
        }
        begin_send(it.a, executor_, fresh, now_);
        if (chance(3))
        {
            on_target_end(it.a, {}, now_);
            at(
                millis{5}, [this, &p, number] { send(p, number); }, &p);
            return;
        }
        const auto answer = "answer" + std::to_string(++answers_);
        result_.seen.sent.push_back({it.a.key, it.body, name_of(it.a), now_, answer});
        ports::http_outcome end;
        end.end = chance(12) ? ports::call_end::interrupted : ports::call_end::answered;
        end.response.status = 200;
        end.response.body = answer;
        at(
            millis{chance(10) ? draw(2500) : draw(80)},
            [this, &p, number, end]
            { tell(p, number, *on_target_end(p.attempts.at(number).a, end, now_)); },
            &p);
    }

    static std::string name_of(const attempt& a)
    {
        return a.executor + "#" + std::to_string(a.number);
    }

    void tell(process& p, std::uint64_t number, const outcome_report& told)
    {
        const auto& it = p.attempts.at(number);
        result_.seen.told.push_back({it.a.key,
            it.body,
            name_of(it.a),
            it.arrived,
            now_,
            told.kind,
            told.reason,
            told.response.body});
        ++result_.counts.told[static_cast<int>(told.kind)];
        ++result_.counts.reasons[static_cast<int>(told.reason)];
        const bool repeats = told.kind != outcome::answered &&
                             told.reason != outcome_reason::other_body && chance(70);
        if (repeats)
        {
            const auto key = it.a.key;
            at(millis{draw(1500)}, [this, key, body = it.body] { call_somewhere(key, body); });
        }
        tell_end(p, number);
    }

    void tell_end(process& p, std::uint64_t number)
    {
        auto& it = p.attempts.at(number);
        const auto finish = due_finish(it.a, executor_, p.claims.roster.epoch, now_);
        const auto* first = first_holder(p, it.a.key);
        if (!finish || first == nullptr)
        {
            return;
        }
        call<ports::ack>(
            p,
            *first,
            [this, finish = *finish](process& callee, const std::function<void(ports::ack)>& reply)
            {
                const auto ticket = ++callee.last_ticket;
                callee.finish_tickets[ticket] = reply;
                act(callee, on_finish(callee.claims, ticket, finish, now_));
            },
            [this, &p, number](peer_status status, ports::ack ack)
            {
                if (status == peer_status::ok)
                {
                    on_finish_ack(p.attempts.at(number).a, ack);
                }
                at(
                    executor_.finish_delay, [this, &p, number] { tell_end(p, number); }, &p);
            });
    }

    void call_somewhere(const std::string& key, int body)
    {
        if (listening_.empty())
        {
            return;
        }
        auto it = listening_.begin();
        std::advance(it, draw(static_cast<int>(listening_.size())));
        auto* p = it->second;
        at(
            millis{0}, [this, p, key, body] { submit(*p, key, body); }, p);
    }

    /// Some key, sometimes through several hosts at the same instant, sometimes with another body.
    void callers()
    {
        const auto newest = static_cast<int>(now_.time_since_epoch() / key_interval);
        const auto age = draw(std::min(newest + 1, chance(30) ? 100 : 8));
        const auto key = "key" + std::to_string(newest - age);
        const int body = chance(6) ? 1 : 0;
        const int copies = chance(30) ? 2 + draw(2) : 1;
        for (int n = 0; n < copies; ++n)
        {
            call_somewhere(key, body);
        }
        at(millis{draw(120)}, [this] { callers(); });
    }

    world_options options_;
    std::mt19937_64 random_;
    claim_settings settings_;
    executor_settings executor_;
    membership::freshness_settings freshness_;
    mono_time now_{};
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::vector<std::unique_ptr<process>> processes_;
    std::map<std::string, process*> listening_;
    std::set<std::string> gone_hosts_;
    std::map<std::string, mono_time> cut_peers_;
    std::map<std::string, mono_time> cut_store_;
    mono_time split_until_{};
    bool split_store_ = false; ///< one half has lost the store, too
    mono_time bad_until_{};
    store store_;
    int beat_every_ = 0; ///< ticks
    int read_every_ = 0; ///< ticks
    int hosts_ = 0;
    std::uint64_t answers_ = 0;
    world_result result_;
};

} // namespace

world_result run_world(const world_options& options)
{
    return world{options}.run();
}

} // namespace camphorhitch::claims::testing
