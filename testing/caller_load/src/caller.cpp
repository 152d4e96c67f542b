#include "caller.hpp"

#include <nlohmann/json.hpp>
#include <thread>

namespace camphorhitch::load
{

namespace
{

using json = nlohmann::json;

struct raw_answer
{
    std::string body;
    std::string outcome;
    std::string attempt;
    std::string reason;
    int retry_after_s = 0;
};

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* to)
{
    static_cast<raw_answer*>(to)->body.append(data, size * count);
    return size * count;
}

void read_field(const std::string& line, const std::string& name, std::string& to)
{
    if (line.size() > name.size() + 1 &&
        curl_strnequal(line.c_str(), name.c_str(), name.size()) != 0 && line[name.size()] == ':')
    {
        const auto begin = line.find_first_not_of(" \t", name.size() + 1);
        const auto end = line.find_last_not_of(" \t\r\n");
        to = begin == std::string::npos ? std::string{} : line.substr(begin, end - begin + 1);
    }
}

std::size_t read_header_line(char* data, std::size_t size, std::size_t count, void* to)
{
    auto* out = static_cast<raw_answer*>(to);
    const std::string line(data, size * count);
    read_field(line, "Camphorhitch-Outcome", out->outcome);
    read_field(line, "Camphorhitch-Attempt", out->attempt);
    read_field(line, "Camphorhitch-Reason", out->reason);
    return size * count;
}

long wall_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

double ms_since(std::chrono::steady_clock::time_point t)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - t).count();
}

curl_slist* fields_of(const plan& p, const planned_request& one)
{
    curl_slist* list = curl_slist_append(nullptr, ("Request-Id: " + one.id).c_str());
    list =
        curl_slist_append(list, ("Target-Delay-Ms: " + std::to_string(one.type->delay_ms)).c_str());
    list = curl_slist_append(list, "Expect:");
    if (!p.direct)
    {
        list = curl_slist_append(list, ("Camphorhitch-Class: " + one.type->name).c_str());
    }
    if (one.keyed)
    {
        list = curl_slist_append(list, ("Idempotency-Key: " + one.id).c_str());
    }
    return list;
}

bool carries_id(const std::string& body, const std::string& id)
{
    const auto parsed = json::parse(body, nullptr, false);
    return parsed.is_object() && parsed.value("request_id", "") == id;
}

} // namespace

recorder::recorder(const std::string& file)
{
    if (!file.empty())
    {
        file_.open(file);
    }
}

void recorder::add(const planned_request& p, const call_record& c)
{
    const json line = {{"id", c.id},
        {"class", p.type->name},
        {"keyed", p.keyed},
        {"service", p.service},
        {"entry", c.entry},
        {"repeat", c.repeat},
        {"status", c.status},
        {"outcome", c.outcome},
        {"attempt", c.attempt},
        {"reason", c.reason},
        {"own", c.own_answer},
        {"begin_ms", c.begin_ms},
        {"elapsed_ms", c.elapsed_ms}};
    const std::lock_guard<std::mutex> lock(mutex_);
    foreign_answers_ += c.own_answer ? 0 : 1;
    if (file_.is_open())
    {
        file_ << line.dump() << '\n';
    }
}

void recorder::add(request_record r)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(std::move(r));
}

const std::vector<request_record>& recorder::requests() const
{
    return requests_;
}

std::size_t recorder::foreign_answers() const
{
    return foreign_answers_;
}

caller::caller(const plan& p, recorder& r) : plan_(p), recorder_(r), easy_(curl_easy_init())
{
}

caller::~caller()
{
    curl_easy_cleanup(easy_);
}

call_record caller::call(const planned_request& p, const std::string& entry, int repeat)
{
    call_record out{p.id, entry, repeat, 0, "broken", "", "", true, wall_ms(), 0};
    const auto begin = std::chrono::steady_clock::now();
    raw_answer raw;
    const std::string path = plan_.direct ? "/work" : "/call/" + p.service + "/work";
    const std::string url = "http://" + entry + path;
    const std::string body = "{\"request\":\"" + p.id + "\"}";
    curl_slist* list = fields_of(plan_, p);
    curl_easy_reset(easy_);
    curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_MAXCONNECTS, static_cast<long>(plan_.entries.size()));
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, static_cast<long>(plan_.timeout_ms));
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &raw);
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, read_header_line);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, &raw);
    if (p.keyed)
    {
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, body.c_str());
    }
    const CURLcode ec = curl_easy_perform(easy_);
    curl_slist_free_all(list);
    out.elapsed_ms = ms_since(begin);
    if (ec != CURLE_OK)
    {
        out.reason = curl_easy_strerror(ec);
        return out;
    }
    long status = 0;
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
    out.status = static_cast<int>(status);
    out.outcome = plan_.direct ? "answered" : raw.outcome;
    out.attempt = raw.attempt;
    out.reason = raw.reason;
    const bool target_ok = out.outcome == "answered" && out.status == 200;
    out.own_answer = !target_ok || carries_id(raw.body, p.id);
    return out;
}

void caller::run(const planned_request& p)
{
    request_record total{p.type->name, p.keyed, "", false, 0, 0};
    for (int repeat = 0; repeat <= plan_.max_repeats; ++repeat)
    {
        const auto& entry = plan_.entries[(p.first_entry + repeat) % plan_.entries.size()];
        const auto one = call(p, entry, repeat);
        recorder_.add(p, one);
        total.outcome = one.outcome;
        total.successful = one.outcome == "answered" && one.status == 200;
        ++total.calls;
        // A request without a key may be repeated if it did not run for certain, or if it is a GET.
        // All requests without a key here are GETs.
        const bool failed_direct = plan_.direct && one.status >= 500;
        if (one.outcome == "answered" && !failed_direct)
        {
            break;
        }
        std::this_thread::sleep_for(
            std::chrono::milliseconds{plan_.repeat_delay_ms * (repeat + 1)});
    }
    total.elapsed_ms = ms_since(p.due);
    recorder_.add(total);
}

} // namespace camphorhitch::load
