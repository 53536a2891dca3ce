// The wire forms of callers' requests: how request metadata is read from headers, and how
// answers and refusals are written.
//
// The native form is specified in docs/CALLERS.md; the other form is the platform's. Both
// convert to and from the same internal types.
#ifndef BUCKTHORNUSHER_CONNECTION_CALLER_FORM_HPP
#define BUCKTHORNUSHER_CONNECTION_CALLER_FORM_HPP

#include "buckthornusher/outcome.hpp"
#include "buckthornusher/time.hpp"
#include "connection/http_message.hpp"
#include "platform/caller_form.hpp"

#include <variant>

namespace buckthornusher
{

struct native_caller_form
{
    caller_facts read(http_request const& request) const;
    // Removes the headers that only this system may send to upstreams.
    void strip(http_request& request) const;
    http_response answered(http_response response) const;
    http_response refused(refusal const& details) const;
};

using caller_form = std::variant<native_caller_form, platform::caller_form>;

} // namespace buckthornusher

#endif
