// Bounds retries to a share of real traffic, so that a fault does not multiply load.
//
// Each first attempt earns `share` of a retry, up to `reserve`; a retry costs one. When
// the budget is spent, retries are refused until traffic has earned them.
#ifndef BUCKTHORNUSHER_RETRY_BUDGET_HPP
#define BUCKTHORNUSHER_RETRY_BUDGET_HPP

#include <algorithm>

namespace buckthornusher
{

class retry_budget
{
public:
    struct options
    {
        double share = 0.1;
        double reserve = 50;
    };

    explicit retry_budget(options opts) : m_options(opts), m_balance(opts.reserve) {}

    void on_first_attempt()
    {
        m_balance = std::min(m_options.reserve, m_balance + m_options.share);
    }

    // Takes one retry from the budget; false if there is none.
    bool try_retry()
    {
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

    double balance() const { return m_balance; }

private:
    options m_options;
    double m_balance; // 0 <= m_balance <= reserve
};

} // namespace buckthornusher

#endif
