// Whether offers to full nodes pay: see the header.
#include "buckthornusher/offer_memory.hpp"

namespace buckthornusher
{

void offer_memory::note(std::string const& request_class, bool taken)
{
    auto& share = m_taken.try_emplace(request_class, 1.0).first->second;
    share += m_options.newest * ((taken ? 1.0 : 0.0) - share);
}

bool offer_memory::pays(std::string const& request_class, std::uint64_t draw) const
{
    auto const it = m_taken.find(request_class);
    return it == m_taken.end() || it->second >= m_options.least_share ||
           draw % m_options.one_in == 0;
}

} // namespace buckthornusher
