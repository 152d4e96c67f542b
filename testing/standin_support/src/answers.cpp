#include "answers.hpp"

#include <algorithm>
#include <cstring>

namespace camphorhitch::standin_support
{

namespace
{

ssize_t read_half(void* cls, std::uint64_t at, char* buf, std::size_t max_size)
{
    const auto& body = *static_cast<std::string*>(cls);
    const auto end = body.size() / 2;
    if (at >= end)
    {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const auto n = std::min(max_size, end - static_cast<std::size_t>(at));
    std::memcpy(buf, body.data() + at, n);
    return static_cast<ssize_t>(n);
}

} // namespace

MHD_Result queue(MHD_Connection* wire, const ports::http_response& r, MHD_Response* response)
{
    for (const auto& [name, text] : r.fields)
    {
        MHD_add_response_header(response, name.c_str(), text.c_str());
    }
    const auto ec = MHD_queue_response(wire, static_cast<unsigned>(r.status), response);
    MHD_destroy_response(response);
    return ec;
}

MHD_Result queue_whole(MHD_Connection* wire, const ports::http_response& r)
{
    auto* const body = const_cast<char*>(r.body.data());
    return queue(
        wire, r, MHD_create_response_from_buffer(r.body.size(), body, MHD_RESPMEM_MUST_COPY));
}

MHD_Result queue_truncated(MHD_Connection* wire, const ports::http_response& r)
{
    auto* const response = MHD_create_response_from_callback(r.body.size(),
        answer_block_size,
        &read_half,
        new std::string(r.body),
        [](void* cls) { delete static_cast<std::string*>(cls); });
    return queue(wire, r, response);
}

} // namespace camphorhitch::standin_support
