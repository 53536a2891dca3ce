// The form in which callers speak: what a request says about itself, and how answers and
// refusals are told.
//
// Our own form is the one of docs/CALLERS.md; the other is the platform's. Inside, both
// are the same types.
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
    // Removes what only the system may tell upstreams.
    void strip(http_request& request) const;
    http_response answered(http_response response) const;
    http_response refused(refusal const& details) const;
};

using caller_form = std::variant<native_caller_form, platform::caller_form>;

} // namespace buckthornusher

#endif
