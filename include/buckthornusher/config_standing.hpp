// Whether a node may deny a request on the ground of its configuration.
//
// A denial, such as "there is no such route", is final for a caller. A node that may lack
// a version that has been in force for long must not give one.
#ifndef BUCKTHORNUSHER_CONFIG_STANDING_HPP
#define BUCKTHORNUSHER_CONFIG_STANDING_HPP

namespace buckthornusher
{

enum class config_standing
{
    current,    // recent evidence exists and no later version is known
    verifying,  // not yet, but an answer may come soon
    unverified, // no; a caller should come back later
};

} // namespace buckthornusher

#endif
