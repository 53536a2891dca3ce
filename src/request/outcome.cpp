// Names and HTTP statuses of outcomes.
#include "buckthornusher/outcome.hpp"

namespace buckthornusher
{

std::string_view to_string(outcome_reason reason)
{
    switch (reason)
    {
    case outcome_reason::none:
        return "none";
    case outcome_reason::no_route:
        return "no-route";
    case outcome_reason::no_key:
        return "no-key";
    case outcome_reason::no_owner:
        return "no-owner";
    case outcome_reason::overloaded:
        return "overloaded";
    case outcome_reason::deadline:
        return "deadline";
    case outcome_reason::not_reached:
        return "not-reached";
    case outcome_reason::stale:
        return "stale";
    case outcome_reason::upstream_refused:
        return "upstream-refused";
    case outcome_reason::lease_over:
        return "lease-over";
    case outcome_reason::operation_unknown:
        return "operation-unknown";
    case outcome_reason::operation_running:
        return "operation-running";
    case outcome_reason::operation_invalid:
        return "operation-invalid";
    case outcome_reason::operations_full:
        return "operations-full";
    case outcome_reason::answer_lost:
        return "answer-lost";
    case outcome_reason::owner_lost:
        return "owner-lost";
    case outcome_reason::stopping:
        return "stopping";
    case outcome_reason::no_configuration:
        return "no-configuration";
    case outcome_reason::behind:
        return "behind";
    case outcome_reason::config_unverified:
        return "configuration-unverified";
    case outcome_reason::no_region:
        return "no-region";
    }
    return "none";
}

int http_status(outcome_reason reason, bool ran)
{
    switch (reason)
    {
    case outcome_reason::no_route:
        return 404;
    case outcome_reason::no_key:
    case outcome_reason::operation_invalid:
        return 400;
    case outcome_reason::operation_running:
        return 409;
    case outcome_reason::overloaded:
    case outcome_reason::behind:
        return 429;
    default:
        return ran ? 504 : 503;
    }
}

} // namespace buckthornusher
