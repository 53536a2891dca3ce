// Builds a variant visitor from one lambda per alternative:
//
//   std::visit(overloaded{[](a const&) {...}, [](b const&) {...}}, value);
#ifndef BUCKTHORNUSHER_PROCESS_OVERLOADED_HPP
#define BUCKTHORNUSHER_PROCESS_OVERLOADED_HPP

namespace buckthornusher
{

template <class... Ts>
struct overloaded : Ts...
{
    using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

} // namespace buckthornusher

#endif
