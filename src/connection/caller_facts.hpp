// What a caller's request says about itself, and what a caller is told if it is not
// answered.
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
    std::string id;                  // names the request in logs; may be empty
    std::optional<duration> timeout; // how long the caller waits
    std::string operation;           // an operation id, "new", or empty
    friend bool operator==(caller_facts const&, caller_facts const&) = default;
};

struct refusal
{
    reason why = reason::none;
    bool may_have_run = false;
    duration retry_after{0}; // when the request is likely to be taken; 0: not said
    friend bool operator==(refusal const&, refusal const&) = default;
};

} // namespace buckthornusher

#endif
