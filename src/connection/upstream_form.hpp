// The wire forms of a node's calls to its upstream: which headers are added to a request,
// and how a response is classified.
//
// The native form sends the epoch and the end of the lease, so that an upstream that
// checks them rejects stale requests. It numbers each sending (buckthornusher-sending),
// and the upstream repeats the number in its response. A refusal without the number is
// not accepted as a refusal, as it may be a repeated copy of an earlier one. In the
// platform's form the upstream holds granted keys, and each request names the incarnation
// of the upstream for which it is meant. Both forms use the same internal types.
#ifndef BUCKTHORNUSHER_CONNECTION_UPSTREAM_FORM_HPP
#define BUCKTHORNUSHER_CONNECTION_UPSTREAM_FORM_HPP

#include "connection/http_message.hpp"
#include "connection/upstream_call.hpp"
#include "platform/upstream_form.hpp"

#include <variant>

namespace buckthornusher
{

struct native_upstream_form
{
    // Returns the request with the headers that carry `call`.
    http_request add_call_headers(http_request request, upstream_call const& call) const;
    // Returns whether the response belongs to the request, which was returned by
    // add_call_headers().
    bool is_response_to(http_request const& request, http_response const& response) const;
    answer_meaning meaning(http_response const& response) const;
    load_word load(http_response const&) const { return load_not_told{}; }
};

using upstream_form = std::variant<native_upstream_form, platform::upstream_form>;

} // namespace buckthornusher

#endif
