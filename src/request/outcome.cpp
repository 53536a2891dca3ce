// Names and HTTP statuses of outcomes.
#include "buckthornusher/outcome.hpp"

namespace buckthornusher
{

std::string_view to_string(reason why)
{
    switch (why)
    {
    case reason::none:
        return "none";
    case reason::no_route:
        return "no-route";
    case reason::no_key:
        return "no-key";
    case reason::no_owner:
        return "no-owner";
    case reason::overloaded:
        return "overloaded";
    case reason::deadline:
        return "deadline";
    case reason::not_reached:
        return "not-reached";
    case reason::stale:
        return "stale";
    case reason::upstream_refused:
        return "upstream-refused";
    case reason::lease_over:
        return "lease-over";
    case reason::operation_unknown:
        return "operation-unknown";
    case reason::operation_running:
        return "operation-running";
    case reason::operation_invalid:
        return "operation-invalid";
    case reason::operations_full:
        return "operations-full";
    case reason::answer_lost:
        return "answer-lost";
    case reason::owner_lost:
        return "owner-lost";
    case reason::stopping:
        return "stopping";
    case reason::no_configuration:
        return "no-configuration";
    case reason::behind:
        return "behind";
    }
    return "none";
}

int http_status(reason why, bool ran)
{
    switch (why)
    {
    case reason::no_route:
        return 404;
    case reason::no_key:
    case reason::operation_invalid:
        return 400;
    case reason::operation_running:
        return 409;
    case reason::overloaded:
    case reason::behind:
        return 429;
    default:
        return ran ? 504 : 503;
    }
}

} // namespace buckthornusher
