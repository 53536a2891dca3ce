// Statistics of offers to full nodes; see the header.
#include "buckthornusher/offer_memory.hpp"

namespace buckthornusher
{

void offer_memory::note(std::string const& request_class, bool taken)
{
    auto& share = m_taken_share.try_emplace(request_class, 1.0).first->second;
    share += m_options.sample_weight * ((taken ? 1.0 : 0.0) - share);
}

bool offer_memory::worth_offering(std::string const& request_class,
                                  std::uint64_t draw) const
{
    auto const it = m_taken_share.find(request_class);
    return it == m_taken_share.end() || it->second >= m_options.min_taken_share ||
           draw % m_options.probe_interval == 0;
}

} // namespace buckthornusher
