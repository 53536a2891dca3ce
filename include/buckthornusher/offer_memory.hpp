// Whether requests of a class are worth offering to nodes that have said that they are
// full.
//
// Such a node takes a request all the same if a slot becomes free meanwhile, or if the
// request can wait. How often that happens differs by class, as does how long a request
// may wait, and it falls as more callers ask for the same slots. So it is learnt: the
// share of such offers that were taken lately, by class. While it is low, offers cost the
// nodes more than they bring, and only some are made, to see whether that has changed.
//
//   load it answers: a service that is full at all its nodes for seconds, with each
//   request offered to several of them; their processors are then busy with refusals.
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
    double min_taken_share = 0.3;      // of offers taken, for which they are made
    double sample_weight = 0.05;       // weight of the newest offer in the share
    std::uint64_t probe_interval = 16; // is made all the same
    friend bool operator==(offer_memory_options const&,
                           offer_memory_options const&) = default;
};

class offer_memory
{
public:
    explicit offer_memory(offer_memory_options opts) : m_options(opts) {}

    // An offer to a node that had said that it is full has ended.
    void note(std::string const& request_class, bool taken);

    // Whether to make one. `draw`: any number.
    bool worth_offering(std::string const& request_class, std::uint64_t draw) const;

private:
    offer_memory_options m_options;
    std::map<std::string, double> m_taken_share; // share, by class
};

} // namespace buckthornusher

#endif
