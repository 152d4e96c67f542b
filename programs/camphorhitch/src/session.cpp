#include "session.hpp"

#include "core/names.hpp"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <curl/curl.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace camphorhitch::client
{

namespace
{

using json = nlohmann::json;

constexpr core::name_table<exit_code, 5> code_names{{
    {exit_code::ok, "ok"},
    {exit_code::refused, "refused"},
    {exit_code::conflict, "conflict"},
    {exit_code::unavailable, "unavailable"},
    {exit_code::unknown_effect, "unknown_effect"},
}};

constexpr long http_ok = 200;
constexpr long http_unauthorized = 401;

struct easy_deleter
{
    void operator()(CURL* it) const
    {
        curl_easy_cleanup(it);
    }
};

struct list_deleter
{
    void operator()(curl_slist* it) const
    {
        curl_slist_free_all(it);
    }
};

struct raw_answer
{
    CURLcode ec = CURLE_OK;
    long status = 0;
    long request_bytes = 0;
    std::string body;
};

std::size_t append(char* data, std::size_t size, std::size_t count, void* to)
{
    static_cast<std::string*>(to)->append(data, size * count);
    return size * count;
}

/// One request to one server.
struct request
{
    const char* method = "POST";
    std::string path;
    std::string body;
    std::string command_id;
};

raw_answer send(const arguments& a, const std::string& server, const request& r)
{
    raw_answer out;
    std::unique_ptr<CURL, easy_deleter> easy(curl_easy_init());
    curl_slist* list = curl_slist_append(nullptr, "Content-Type: application/json");
    list = curl_slist_append(list, "Expect:");
    list = curl_slist_append(list, ("Authorization: Bearer " + a.token).c_str());
    list = curl_slist_append(list, ("Camphorhitch-Command: " + r.command_id).c_str());
    std::unique_ptr<curl_slist, list_deleter> fields(list);
    const std::string url = "http://" + server + r.path;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, r.method);
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, fields.get());
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(r.body.size()));
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, r.body.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(a.timeout_ms));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &out.body);
    out.ec = curl_easy_perform(easy.get());
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &out.status);
    curl_easy_getinfo(easy.get(), CURLINFO_REQUEST_SIZE, &out.request_bytes);
    return out;
}

/// The worst code of all results decides, in the order of the exit codes.
exit_code worst(exit_code a, exit_code b)
{
    return static_cast<int>(a) > static_cast<int>(b) ? a : b;
}

call_outcome read_answer(const arguments& a, const json& answer)
{
    call_outcome out;
    out.code = exit_code::ok;
    for (const auto& it : answer.value("results", json::array()))
    {
        const auto code = core::value_of(code_names, it.value("code", "refused"));
        out.code = worst(out.code, code.value_or(exit_code::refused));
        auto& text = code == exit_code::ok ? out.text : out.problem;
        text += a.json && code == exit_code::ok ? std::string{} : it.value("text", "");
    }
    if (a.json)
    {
        out.text = answer.dump(2) + '\n';
    }
    out.settled = answer.value("settled", true);
    return out;
}

call_outcome read_raw(const arguments& a, const std::string& server, const raw_answer& raw)
{
    if (raw.status == http_unauthorized)
    {
        return {exit_code::unauthorized, "", server + ": the token is missing or wrong\n", true};
    }
    const auto answer = json::parse(raw.body, nullptr, false);
    if (raw.status != http_ok || !answer.is_object())
    {
        const auto text = server + ": HTTP status " + std::to_string(raw.status) + ' ' + raw.body;
        return {exit_code::refused, "", text + '\n', true};
    }
    return read_answer(a, answer);
}

} // namespace

call_outcome execute(const arguments& a, const std::string& command_id, bool check_only)
{
    request r{"PUT", "/v1/apply", a.statements, command_id};
    if (!a.apply || check_only)
    {
        const json body = {{"text", a.statements},
            {"name", a.statements_name},
            {"command", command_id},
            {"check_only", check_only}};
        r.method = "POST";
        r.path = "/v1/execute";
        r.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    call_outcome last;
    bool maybe_done = false;
    for (const auto& server : a.servers)
    {
        const auto raw = send(a, server, r);
        if (raw.ec == CURLE_OK)
        {
            auto out = read_raw(a, server, raw);
            if (out.code != exit_code::unavailable)
            {
                return out;
            }
            last = out;
            continue;
        }
        // The command carries its id, so asking the next daemon after bytes have left is safe.
        maybe_done = maybe_done || raw.request_bytes > 0;
        last.problem += server + ": " + curl_easy_strerror(raw.ec) + '\n';
    }
    last.code = maybe_done ? exit_code::unknown_effect : exit_code::unavailable;
    return last;
}

std::string new_command_id()
{
    return boost::uuids::to_string(boost::uuids::random_generator()());
}

} // namespace camphorhitch::client
