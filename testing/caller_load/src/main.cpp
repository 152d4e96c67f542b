/// \file
/// caller_load: runs a plan and prints a summary as JSON.

#include "caller.hpp"

#include <algorithm>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <filesystem>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

namespace
{

using namespace camphorhitch;
using namespace camphorhitch::load;
using json = nlohmann::json;

std::vector<planned_request> make_schedule(const plan& p)
{
    boost::random::mt19937_64 random(p.seed);
    boost::random::uniform_real_distribution<double> unit(0.0, 1.0);
    std::vector<double> weights;
    for (const auto& it : p.kinds)
    {
        weights.push_back(it.weight);
    }
    boost::random::discrete_distribution<std::size_t> pick(weights);
    const auto begin = std::chrono::steady_clock::now() + std::chrono::milliseconds{50};
    const auto n = static_cast<std::size_t>(p.rate * p.seconds);
    std::vector<planned_request> all(n);
    for (std::size_t i = 0; i < n; ++i)
    {
        auto& it = all[i];
        it.id = p.id_prefix + std::to_string(p.seed) + "-" + std::to_string(i);
        it.type = &p.kinds[pick(random)];
        it.keyed = unit(random) < p.keyed;
        it.service = p.services.empty() ? std::string{} : p.services[i % p.services.size()];
        // A load balancer selects entry hosts at random; direct callers use the targets round
        // robin.
        const auto picked = static_cast<std::size_t>(unit(random) * 1e6);
        it.first_entry = p.direct ? i : picked;
        const double offset_s = static_cast<double>(i) / p.rate;
        it.due = begin + std::chrono::microseconds{static_cast<std::int64_t>(offset_s * 1e6)};
    }
    return all;
}

bool stop_requested(const plan& p)
{
    return !p.stop_file.empty() && std::filesystem::exists(p.stop_file);
}

void run_requests(const plan& p,
    const std::vector<planned_request>& all,
    std::atomic<std::size_t>& next,
    recorder& r)
{
    caller one(p, r);
    for (std::size_t i = next++; i < all.size() && !stop_requested(p); i = next++)
    {
        std::this_thread::sleep_until(all[i].due);
        one.run(all[i]);
    }
}

double quantile(std::vector<double>& sorted, double q)
{
    if (sorted.empty())
    {
        return 0;
    }
    const auto i =
        static_cast<std::size_t>(std::lround(q * static_cast<double>(sorted.size() - 1)));
    return sorted[i];
}

json quantiles_of(std::map<std::string, std::vector<double>>& times)
{
    json out = json::object();
    for (auto& [name, list] : times)
    {
        std::sort(list.begin(), list.end());
        out[name] = {{"n", list.size()},
            {"p50_ms", quantile(list, 0.5)},
            {"p99_ms", quantile(list, 0.99)},
            {"p999_ms", quantile(list, 0.999)},
            {"max_ms", list.back()}};
    }
    return out;
}

json summary_of(const std::vector<request_record>& all)
{
    std::map<std::string, std::vector<double>> times;
    std::map<std::string, int> outcomes;
    std::map<std::string, int> by_class;
    std::map<std::string, std::vector<double>> by_key;
    std::size_t calls = 0;
    std::size_t successful = 0;
    for (const auto& it : all)
    {
        ++by_class[it.type + " " + it.outcome];
        successful += it.successful ? 1 : 0;
        ++outcomes[(it.keyed ? "keyed " : "plain ") + it.outcome];
        calls += static_cast<std::size_t>(it.calls);
        if (it.outcome == "answered")
        {
            times[it.type].push_back(it.elapsed_ms);
            by_key[it.keyed ? "keyed" : "plain"].push_back(it.elapsed_ms);
        }
    }
    return {{"requests", all.size()},
        {"good", successful},
        {"calls", calls},
        {"outcomes", outcomes},
        {"classes", by_class},
        {"latency", quantiles_of(times)},
        {"latency_by_key", quantiles_of(by_key)}};
}

int run(const plan& p)
{
    const auto all = make_schedule(p);
    recorder r(p.record);
    std::atomic<std::size_t> next{0};
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(p.threads));
    for (int i = 0; i < p.threads; ++i)
    {
        threads.emplace_back([&] { run_requests(p, all, next, r); });
    }
    for (auto& it : threads)
    {
        it.join();
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    auto out = summary_of(r.requests());
    out["foreign_answers"] = r.foreign_answers();
    out["seconds"] = elapsed.count();
    out["requests_per_s"] = static_cast<double>(r.requests().size()) / elapsed.count();
    std::cout << out.dump(2) << '\n';
    return r.foreign_answers() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed = read_plan(argc, argv);
    if (const auto* it = std::get_if<std::string>(&parsed))
    {
        std::cout << *it;
        return 0;
    }
    if (const auto* it = std::get_if<core::findings>(&parsed))
    {
        std::cerr << core::to_text(*it);
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const int code = run(std::get<plan>(parsed));
    curl_global_cleanup();
    return code;
}
