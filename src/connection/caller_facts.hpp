// The metadata that a caller's request carries, and the content of the refusal that the
// caller receives when its request is not answered.
#ifndef BUCKTHORNUSHER_CONNECTION_CALLER_FACTS_HPP
#define BUCKTHORNUSHER_CONNECTION_CALLER_FACTS_HPP

#include "buckthornusher/outcome.hpp"
#include "buckthornusher/time.hpp"

#include <optional>
#include <string>

namespace buckthornusher
{

struct caller_facts
{
    std::string id;                  // identifies the request in logs; may be empty
    std::optional<duration> timeout; // how long the caller waits for the answer
    std::string operation;           // an operation id, "new", or empty
    friend bool operator==(caller_facts const&, caller_facts const&) = default;
};

struct refusal
{
    outcome_reason reason = outcome_reason::none;
    bool may_have_run = false;
    duration retry_after{0}; // after which a retry is likely to succeed; 0: unknown
    friend bool operator==(refusal const&, refusal const&) = default;
};

} // namespace buckthornusher

#endif
