// The decoders of bytes that come from outside of the process, each as a function of
// those bytes for fuzzing, with seeds that show the forms that it accepts.
//
// A target must not crash, throw, or run longer than its input warrants, whatever the
// bytes are. Some also check a law, such as that a message read byte by byte equals the
// message read at once; a violation aborts.
#ifndef BUCKTHORNUSHER_FUZZ_TARGETS_HPP
#define BUCKTHORNUSHER_FUZZ_TARGETS_HPP

#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher::fuzz
{

struct target
{
    std::string name;
    void (*run)(std::string_view bytes) = nullptr;
    std::vector<std::string> seeds;
};

std::vector<target> const& targets();

// Returns the target of that name, or null.
target const* find_target(std::string_view name);

} // namespace buckthornusher::fuzz

#endif
