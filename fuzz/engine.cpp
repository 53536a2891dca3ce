// The entry point of libFuzzer, built once for each target; FUZZ_TARGET is its name.
#include "fuzz/targets.hpp"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    static auto const* const target = buckthornusher::fuzz::find_target(FUZZ_TARGET);
    target->run({reinterpret_cast<char const*>(data), size});
    return 0;
}
