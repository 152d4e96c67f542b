#include "transport.hpp"

#include <curl/curl.h>
#include <memory>
#include <utility>

namespace camphorhitch::client
{

namespace
{

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

using header_list = std::unique_ptr<curl_slist, list_deleter>;

std::size_t append(char* data, std::size_t size, std::size_t count, void* to)
{
    static_cast<std::string*>(to)->append(data, size * count);
    return size * count;
}

header_list make_headers(const operator_request& r, const std::string& token)
{
    curl_slist* list = curl_slist_append(nullptr, "Content-Type: application/json");
    list = curl_slist_append(list, "Expect:");
    list = curl_slist_append(list, ("Authorization: Bearer " + token).c_str());
    list = curl_slist_append(list, ("Camphorhitch-Command: " + r.command_id).c_str());
    return header_list(list);
}

} // namespace

transport::transport(std::string token, int timeout_ms)
    : token_(std::move(token)), timeout_ms_(timeout_ms)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

transport::~transport()
{
    curl_global_cleanup();
}

raw_answer transport::send(const std::string& server, const operator_request& r) const
{
    raw_answer out;
    const std::unique_ptr<CURL, easy_deleter> easy(curl_easy_init());
    const auto headers = make_headers(r, token_);
    const std::string url = "http://" + server + r.path;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, r.method);
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(r.body.size()));
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, r.body.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms_));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &out.body);
    const auto ec = curl_easy_perform(easy.get());
    long request_bytes = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &out.status);
    curl_easy_getinfo(easy.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
    out.answered = ec == CURLE_OK;
    out.sent = request_bytes > 0;
    out.error = curl_easy_strerror(ec);
    return out;
}

} // namespace camphorhitch::client
