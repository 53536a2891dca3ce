// The form in which a node speaks to its upstream: what goes with each order, and what an
// answer means.
//
// Our own form tells the epoch and the end of the lease; an upstream that checks them
// refuses an order that is too old. It names each sending (buckthornusher-sending); an
// upstream repeats that in its answer, and a refusal that does not name it is not taken
// for one, as it may be an earlier one that was written again. In the platform's form the
// upstream holds granted keys, and is told which run of it is meant. Inside, both are the
// same types.
#ifndef BUCKTHORNUSHER_CONNECTION_UPSTREAM_FORM_HPP
#define BUCKTHORNUSHER_CONNECTION_UPSTREAM_FORM_HPP

#include "connection/http_message.hpp"
#include "connection/upstream_order.hpp"
#include "platform/upstream_form.hpp"

#include <variant>

namespace buckthornusher
{

struct native_upstream_form
{
    http_request add_call_headers(http_request request, upstream_order const& call) const;
    bool is_response_to(http_request const& request, http_response const& response) const;
    answer_meaning meaning(http_response const& response) const;
};

using upstream_form = std::variant<native_upstream_form, platform::upstream_form>;

} // namespace buckthornusher

#endif
