// Learns how long requests of each class take at each upstream of a service.
//
// Upstreams differ in speed, and classes differ in work: the mean over all requests of an
// upstream says more about its recent mix than about its speed. The expected time of a
// class at an upstream is therefore what that upstream reported for this class. If it has
// reported none, or not lately, the expected time is the usual time of the class, over
// all upstreams, times the slowness of the upstream, which is learnt over its classes.
//
// What is known of an upstream fades: one that was slow is tried again after a while. An
// upstream of which nothing is known is assumed to be a little faster than the fastest,
// so that it is tried soon.
//
// Built for services whose upstreams run short and long requests side by side, at speeds
// that differ by a factor of two and more.
//
// Cost: O(log upstreams + log classes) for note() and for a time; O(upstreams) for
// fastest(). Memory is one entry for each pair that was reported.
#ifndef BUCKTHORNUSHER_SERVICE_TIMES_HPP
#define BUCKTHORNUSHER_SERVICE_TIMES_HPP

#include "buckthornusher/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

struct service_time_options
{
    double usual_weight = 0.05;     // of the newest report in the usual time of a class
    double slowness_weight = 0.2;   // of the newest report in the slowness of an upstream
    duration report_half_life = 4s; // of a reported time against the usual one
    duration slowness_half_life = 15s; // of a slowness against the usual one, 1
    // Slowness of an unknown upstream, relative to the fastest known one.
    double unknown_factor = 0.8;
    friend bool operator==(service_time_options const&,
                           service_time_options const&) = default;
};

class service_times
{
public:
    explicit service_times(service_time_options opts) : m_options(opts) {}

    // The upstream of the node has reported the time of a request of the class.
    void note(std::string const& node, std::string const& request_class, duration time,
              instant now);

    // Returns the expected time of a request of the class at the upstream of the node, or
    // nothing if no upstream has reported a time of the class. `unknown`: the slowness of
    // an upstream of which nothing is known.
    std::optional<duration> expected(std::string const& node,
                                     std::string const& request_class, double unknown,
                                     instant now) const;

    // Returns the slowness to assume of an unknown upstream among these nodes.
    double unknown_slowness(std::vector<std::string_view> const& nodes,
                            instant now) const;

    // Removes all nodes but these.
    void keep_only(std::vector<std::string> const& nodes);

private:
    struct reported_time
    {
        duration time{0};
        instant at;
    };
    struct upstream
    {
        double slowness = 1; // time relative to the usual one of the class
        instant slowness_at;
        std::map<std::string, reported_time> times; // by class
    };
    double slowness_at(upstream const& u, instant now) const;

    service_time_options m_options;
    std::map<std::string, double> m_usual;                    // seconds, by class
    std::map<std::string, upstream, std::less<>> m_upstreams; // by node
};

} // namespace buckthornusher

#endif
