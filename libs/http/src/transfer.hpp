/// \file
/// One call of the client: its curl handle, what came of the answer so far, and how it ended.
#pragma once

#include "http/client.hpp"

#include <curl/curl.h>
#include <memory>
#include <string>

namespace camphorhitch::http
{

struct free_list
{
    void operator()(curl_slist* it) const
    {
        curl_slist_free_all(it);
    }
};

struct transfer
{
    ports::call_id id = 0;
    ports::http_call call;
    std::function<void(ports::http_outcome)> on_end;
    bool streams = false;
    core::millis longest_silence{0};
    std::function<void(std::string_view)> on_chunk;

    const ports::scheduler* time = nullptr;
    CURL* easy = nullptr;
    std::unique_ptr<curl_slist, free_list> lines; ///< the request's fields, as curl wants them
    core::mono_time started;
    core::mono_time last_byte;
    ports::timer_id silence_timer = 0;
    ports::timer_id deadline_timer = 0;     ///< of connecting, or of the whole call
    curl_socket_t socket = CURL_SOCKET_BAD; ///< that curl has it wait for
    core::mono_time socket_since;

    ports::http_response response;
    std::string pending;         ///< of a stream: came, and not yet given to on_chunk
    std::size_t received = 0;    ///< bytes of the answer, header included
    bool began = false;          ///< a connection stood and the request was about to be written
    bool new_connection = false; ///< the first one that the request was written to
    bool in_body = false;        ///< the answer's header is whole
    bool deaf = false;           ///< we refused to take more of the answer
    bool resend_refused = false;
    bool too_late = false; ///< for latest_start
    bool silent = false;
};

/// \return why the request can't be sent as it is, or an empty string.
std::string request_fault(const ports::http_call& call);

/// Sets up the curl handle of a transfer for its call.
/// \param unacknowledged see client_limits; outlives the sockets
void prepare(transfer& it, const core::millis& unacknowledged);

/// Called by curl for each line of the answer's header, and of a trailer; \p cls is the transfer.
std::size_t on_header(char* data, std::size_t size, std::size_t count, void* cls);

/// Called by curl for each part of the answer's body.
std::size_t on_body(char* data, std::size_t size, std::size_t count, void* cls);

/// \return bytes of the call's request that curl has handed to the kernel.
long bytes_sent(CURL* easy);

/// \return what became of the call; takes the response out of \p it.
ports::http_outcome judge(transfer& it, CURLcode code, core::mono_time now);

} // namespace camphorhitch::http
