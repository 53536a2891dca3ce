// Decides whether requests of a class are worth offering to nodes that reported that they
// are full.
//
// A full node still accepts a request if a slot has become free in the meantime or if the
// request can wait in its queue. How often that happens depends on the class and on how
// long its requests may wait, and falls as more callers compete for the same slots. The
// share of accepted offers is therefore estimated for each class as a moving average.
// While it is low, offers cost the nodes more than they gain, and only one in
// `probe_interval` is made, to detect a change.
//
// Built for a service that is full on all its nodes for seconds, where offering each
// request to several nodes would keep their processors busy with refusals.
//
// Cost: O(log classes); one entry for each class.
#ifndef BUCKTHORNUSHER_OFFER_MEMORY_HPP
#define BUCKTHORNUSHER_OFFER_MEMORY_HPP

#include <cstdint>
#include <map>
#include <string>

namespace buckthornusher
{

struct offer_memory_options
{
    double min_taken_share = 0.3; // share of accepted offers below which most are skipped
    double sample_weight = 0.05;  // weight of the newest offer in the average
    std::uint64_t probe_interval = 16; // one offer in so many is made regardless
    friend bool operator==(offer_memory_options const&,
                           offer_memory_options const&) = default;
};

class offer_memory
{
public:
    explicit offer_memory(offer_memory_options opts) : m_options(opts) {}

    // Records the result of an offer to a node that had reported that it is full.
    void note(std::string const& request_class, bool taken);

    // Returns whether to make such an offer. `draw`: a random number.
    bool worth_offering(std::string const& request_class, std::uint64_t draw) const;

private:
    offer_memory_options m_options;
    std::map<std::string, double> m_taken_share; // moving average, by class
};

} // namespace buckthornusher

#endif
