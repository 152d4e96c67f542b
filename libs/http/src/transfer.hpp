/// \file
/// One call of the client: its curl handle, the received part of the answer, and the outcome.
#pragma once

#include "http/client.hpp"

#include <curl/curl.h>
#include <memory>
#include <string>

namespace camphorhitch::http
{

/// Deleter of a curl list.
struct free_list
{
    void operator()(curl_slist* it) const
    {
        curl_slist_free_all(it);
    }
};

/// A call that is in progress.
struct transfer
{
    ports::call_id id = 0;
    ports::http_call call;
    std::function<void(ports::http_outcome)> on_end;
    bool is_stream = false;
    core::millis idle_timeout{0};
    std::function<void(std::string_view)> on_chunk;

    const ports::scheduler* time = nullptr;
    CURL* easy = nullptr;
    /// Header fields of the request in curl's form.
    std::unique_ptr<curl_slist, free_list> header_lines;
    core::mono_time started;
    core::mono_time last_byte;
    ports::timer_id idle_timer = 0;
    ports::timer_id deadline_timer = 0;     ///< for the connect timeout and the total timeout
    curl_socket_t socket = CURL_SOCKET_BAD; ///< socket that curl waits for
    core::mono_time waiting_on_socket_since;

    ports::http_response response;
    std::string undelivered;        ///< received data of a stream, not yet passed to on_chunk
    std::size_t received = 0;       ///< received bytes of the answer, including the header
    bool request_started = false;   ///< connected, and the request was about to be written
    bool new_connection = false;    ///< the request was first written to a new connection
    bool in_body = false;           ///< the header of the answer is complete
    bool answer_too_large = false;  ///< the answer exceeded largest_answer and was aborted
    bool resend_blocked = false;    ///< curl was stopped from sending the request a second time
    bool past_latest_start = false; ///< the request was not sent because latest_start had passed
    bool idle_timed_out = false;    ///< no data was received within idle_timeout
};

/// \return the reason why the request is invalid and can't be sent; empty: the request is valid.
std::string find_request_fault(const ports::http_call& call);

/// Configures the curl handle of a transfer for its call.
/// \param unacknowledged max_unacknowledged_time of client_limits; must outlive the sockets
void configure_handle(transfer& it, const core::millis& unacknowledged);

/// Called by curl for each line of the answer's header and trailer; \p cls is the transfer.
std::size_t on_header(char* data, std::size_t size, std::size_t count, void* cls);

/// Called by curl for each part of the answer's body; \p cls is the transfer.
std::size_t on_body(char* data, std::size_t size, std::size_t count, void* cls);

/// \return bytes of the request that curl has passed to the kernel.
long bytes_sent(CURL* easy);

/// \return the outcome of the call; moves the response out of \p it.
ports::http_outcome make_outcome(transfer& it, CURLcode code, core::mono_time now);

} // namespace camphorhitch::http
