// The entry point of libFuzzer, built once for each target; FUZZ_TARGET is its name.
#include "fuzz/targets.hpp"

#include <cstddef>
#include <cstdint>

#ifndef FUZZ_TARGET
#define FUZZ_TARGET "record" // for tools that read this file outside of a build
#endif

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    static auto const* const target = buckthornusher::fuzz::find_target(FUZZ_TARGET);
    target->run({reinterpret_cast<char const*>(data), size});
    return 0;
}
