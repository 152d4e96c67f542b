/// \file
/// Measures the decisions of the claim table without network and threads: memory for each
/// remembered key, processor time of a request at the two holders of its key, and time of a
/// takeover of all slots.
#include "claims/claim_table.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <malloc.h>

namespace
{

using namespace camphorhitch;
using namespace camphorhitch::claims;
using bench_clock = std::chrono::steady_clock;

constexpr core::mono_time start{};
constexpr int key_length = 36; // length of a UUID, the keys that callers send

struct measurements
{
    std::size_t answer_bytes = 0;
    double bytes_per_key = 0;
    double request_us = 0;
    double adopt_ms = 0;
    double pull_ms = 0;
    std::size_t pulls = 0;
};

template <class Duration>
double since(bench_clock::time_point begin)
{
    return std::chrono::duration<double, typename Duration::period>(bench_clock::now() - begin)
        .count();
}

model::member_record member(int n)
{
    const auto id = "entry-host-" + std::to_string(n);
    return {id, "5f0c2b1e9d4a4d0" + std::to_string(n), "10.0.0.1:7000", "z" + std::to_string(n)};
}

std::string key_of(int n)
{
    auto digits = std::to_string(n);
    return std::string(key_length - digits.size(), 'k') + digits;
}

/// Two holders of all keys; copies reach the other holder without delay.
class holder_pair
{
public:
    explicit holder_pair(std::size_t keys)
    {
        roster_.epoch = 1;
        roster_.members = {member(0), member(1)};
        for (std::size_t n = 0; n < tables_.size(); ++n)
        {
            tables_[n].self = roster_.members[n];
            tables_[n].settings.keys_per_slot = keys;
            tables_[n].settings.answer_bytes_per_slot = keys * (std::size_t{1} << 20);
            on_roster(tables_[n], roster_, start);
        }
    }

    void run_request(int n, const std::string& body)
    {
        const auto key = key_of(n);
        const auto slot = membership::slot_of_key(key);
        const int first = tables_[0].slots[slot].role == slot_role::first ? 0 : 1;
        const auto executor = membership::process_name(roster_.members[0]);
        const auto number = static_cast<std::uint64_t>(n);
        const ports::claim_request request{1, key, 7, executor, number};
        deliver_copies(first, on_claim(tables_[first], number, request, true, start));
        ports::claim_finish finish;
        finish.epoch = 1;
        finish.key = key;
        finish.executor = executor;
        finish.attempt = number;
        finish.entry.state = ports::claim_state::done;
        finish.entry.status = 200;
        finish.entry.answer_kept = true;
        finish.entry.body = body;
        deliver_copies(first, on_finish(tables_[first], number, finish, start));
    }

    /// Replaces the first holder by a third member, which pulls all slots from the second holder.
    void measure_takeover(measurements& result)
    {
        auto next = roster_;
        next.epoch = 2;
        next.history = {{1, roster_.members}};
        next.members = {member(1), member(2)};
        on_roster(tables_[1], next, start);
        claim_table third;
        third.self = next.members[1];
        auto begin = bench_clock::now();
        const auto actions = on_roster(third, next, start);
        result.adopt_ms = since<std::chrono::milliseconds>(begin);
        begin = bench_clock::now();
        for (const auto& it : actions)
        {
            const auto* pull = std::get_if<send_pull>(&it);
            if (pull != nullptr && pull->to.id == next.members[0].id)
            {
                const auto reply = on_pull(tables_[1], pull->pull, start);
                on_pull_result(third, *pull, ports::peer_status::ok, reply, start);
                ++result.pulls;
            }
        }
        result.pull_ms = since<std::chrono::milliseconds>(begin);
    }

private:
    void deliver_copies(int at, const claim_actions& actions)
    {
        for (const auto& it : actions)
        {
            if (const auto* copy = std::get_if<send_copy>(&it))
            {
                const auto ack = on_copy(tables_[1 - at], copy->copy, start);
                deliver_copies(at,
                    on_copy_result(tables_[at], copy->number, ports::peer_status::ok, ack, true));
            }
        }
    }

    model::roster_document roster_;
    std::array<claim_table, 2> tables_;
};

measurements measure(int keys, std::size_t answer_bytes)
{
    measurements result;
    result.answer_bytes = answer_bytes;
    holder_pair holders{static_cast<std::size_t>(keys)};
    const std::string body(answer_bytes, 'x');
    const auto memory = mallinfo2().uordblks;
    const auto begin = bench_clock::now();
    for (int n = 0; n < keys; ++n)
    {
        holders.run_request(n, body);
    }
    result.request_us = since<std::chrono::microseconds>(begin) / keys;
    result.bytes_per_key = static_cast<double>(mallinfo2().uordblks - memory) / 2.0 / keys;
    holders.measure_takeover(result);
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{"bench_claim_table", "the claims' decisions alone"};
    options.add_options()("json", "write the figures to this file", cxxopts::value<std::string>())(
        "keys", "remembered at most", cxxopts::value<int>()->default_value("100000"))(
        "help", "print this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    const int max_keys = parsed["keys"].as<int>();
    nlohmann::json all = nlohmann::json::array();
    std::printf("%8s %8s %14s %12s %10s %8s %10s\n",
        "keys",
        "answer",
        "bytes/key",
        "us/request",
        "adopt ms",
        "pulls",
        "pull ms");
    for (const int keys : {max_keys / 10, max_keys})
    {
        for (const std::size_t answer_bytes : {0U, 300U, 2000U})
        {
            const auto it = measure(keys, answer_bytes);
            std::printf("%8d %8zu %14.0f %12.2f %10.2f %8zu %10.1f\n",
                keys,
                it.answer_bytes,
                it.bytes_per_key,
                it.request_us,
                it.adopt_ms,
                it.pulls,
                it.pull_ms);
            all.push_back({{"keys", keys},
                {"answer_bytes", it.answer_bytes},
                {"bytes_per_key_and_holder", it.bytes_per_key},
                {"us_per_request", it.request_us},
                {"adopt_ms", it.adopt_ms},
                {"pulls", it.pulls},
                {"pull_ms", it.pull_ms}});
        }
    }
    if (parsed.count("json") > 0)
    {
        std::ofstream{parsed["json"].as<std::string>()} << all.dump(2) << '\n';
    }
    return 0;
}
