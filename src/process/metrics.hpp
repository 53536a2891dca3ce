// Request counters and latency histograms of a node, in the Prometheus text format.
#ifndef BUCKTHORNUSHER_PROCESS_METRICS_HPP
#define BUCKTHORNUSHER_PROCESS_METRICS_HPP

#include "buckthornusher/outcome.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace buckthornusher
{

enum class outcome_kind
{
    answered,
    refused,
    unknown,
    left, // the caller disconnected before the answer
};

char const* to_string(outcome_kind kind);

class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    void count_outcome(std::string const& service, outcome_kind kind,
                       outcome_reason reason, duration latency);
    void count_retry(std::string const& service);
    // Sets a value that is counted elsewhere. `name` may carry labels.
    void set(std::string const& name, std::uint64_t value);

    // Returns all metrics in the text format.
    std::string exposition() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
