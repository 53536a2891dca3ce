// Implementation of the next step of a request; see the header.
#include "buckthornusher/next_step.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// Draws that follow from a seed (SplitMix64).
class draws
{
public:
    explicit draws(std::uint64_t seed) : m_state(seed) {}

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15U;
        auto z = m_state;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
        return z ^ (z >> 31U);
    }

private:
    std::uint64_t m_state;
};

// The rounds of offers of one decision.
//
// Invariant: m_usable are the candidates without a veto, where a last round that has
// just begun asks for all clocks again; m_unreachable tells whether another one is vetoed
// for its reach alone.
class offer_rounds
{
public:
    offer_rounds(step_upstreams const& upstreams, region_bound const& regions,
                 request_progress const& progress)
        : m_upstreams(upstreams), m_regions(regions), m_tried(progress.tried),
          m_last_round(progress.last_round)
    {
        find_usable();
        if (m_usable.empty() && !m_unreachable && !m_tried.empty() && !m_last_round)
            begin_last_round();
    }

    void begin_last_round()
    {
        m_begun = m_last_round = true;
        m_tried.clear();
        find_usable();
    }

    std::vector<placement_candidate> const& usable() const { return m_usable; }
    bool only_unreachable() const { return m_usable.empty() && m_unreachable; }
    std::size_t refused_by() const { return m_tried.size(); }
    bool last_round() const { return m_last_round; }
    bool begun() const { return m_begun; }

private:
    void find_usable()
    {
        m_usable.clear();
        m_unreachable = false;
        for (auto const& c : m_upstreams.candidates)
        {
            auto const veto = veto_of(c, m_regions, m_tried);
            bool const only_reach = veto == step_veto::reach && !blocked_beyond_reach(c);
            if (veto == step_veto::none || (only_reach && m_begun))
                m_usable.push_back(c.place);
            m_unreachable = m_unreachable || (only_reach && !m_begun);
        }
    }

    bool blocked_beyond_reach(step_candidate c) const
    {
        c.unreachable = false;
        return veto_of(c, m_regions, m_tried) != step_veto::none;
    }

    step_upstreams const& m_upstreams;
    region_bound const& m_regions;
    std::set<std::string> m_tried;
    std::vector<placement_candidate> m_usable;
    bool m_unreachable = false;
    bool m_last_round = false;
    bool m_begun = false; // by this decision
};

bool is_here(step_upstreams const& upstreams, std::string const& node)
{
    return std::any_of(upstreams.candidates.begin(), upstreams.candidates.end(),
                       [&](step_candidate const& c)
                       { return c.here && c.place.node == node; });
}

step_action refuse_without_room(request_progress const& progress, duration wait)
{
    return refuse_with{.reason = outcome_reason::overloaded,
                       .retry_after = std::max(progress.retry_after, wait),
                       .why = {}};
}

// The step of a request whose upstreams are all in evacuated domains, or none are known.
step_action wait_for_other_domain(step_request const& request, instant now,
                                  step_options const& opts)
{
    if (request.only_evacuated)
        return refuse_with{.reason = outcome_reason::no_owner,
                           .retry_after = opts.evacuated_retry_after,
                           .why = {}};
    return wait_or_refuse(request, now, opts);
}

// All that could be asked refused the request, or nobody is there to be asked.
step_action without_choice(step_request const& request, request_progress const& progress,
                           offer_rounds const& rounds, region_supply const& supply,
                           instant now, step_options const& opts)
{
    if (rounds.refused_by() > 0 && progress.refused_outside && !progress.refused)
        return refuse_with{.reason = outcome_reason::no_region,
                           .retry_after = progress.retry_after,
                           .why = "refused by the nodes that were asked"};
    if (rounds.refused_by() > 0)
        return refuse_without_room(progress, duration{0});
    if (auto const after =
            refusal_without_upstream(request.regions, supply, now, opts.regions))
        return refuse_with{.reason = outcome_reason::no_region,
                           .retry_after = *after,
                           .why = "no upstream there can be used"};
    return wait_for_other_domain(request, now, opts);
}

} // namespace

step_veto veto_of(step_candidate const& c, region_bound const& regions,
                  std::set<std::string> const& tried)
{
    if (!regions.allows(c.region))
        return step_veto::region;
    if (c.unreachable)
        return step_veto::reach;
    if (c.evacuated)
        return step_veto::evacuation;
    if (tried.contains(c.place.node))
        return step_veto::refusal;
    return step_veto::none;
}

region_supply supply_of(step_upstreams const& upstreams, region_bound const& regions)
{
    region_supply supply{.known_since = upstreams.known_since};
    for (auto const& c : upstreams.candidates)
        if (!c.evacuated)
            (regions.allows(c.region) ? supply.inside : supply.outside) = true;
    return supply;
}

step_action wait_or_refuse(step_request const& request, instant now,
                           step_options const& opts)
{
    if (request.stopping)
        return refuse_with{.reason = outcome_reason::stopping,
                           .retry_after = *request.stopping,
                           .why = {}};
    return wait_until{now + opts.waiting_retry_interval};
}

next_step next_unkeyed_step(step_request const& request, request_progress const& progress,
                            placement_request const& cost,
                            step_upstreams const& upstreams, placement const& loads,
                            offer_memory const& memory, std::uint64_t seed, instant now,
                            step_options const& opts)
{
    draws random(seed);
    offer_rounds rounds(upstreams, request.regions, progress);
    auto const decided = [&](step_action action)
    {
        return next_step{.action = std::move(action),
                         .begins_last_round = rounds.begun()};
    };
    for (;;)
    {
        if (rounds.only_unreachable())
            return decided(wait_or_refuse(request, now, opts));
        auto const choice = loads.choose(rounds.usable(), cost, random.next(), now);
        if (!choice)
            return decided(without_choice(request, progress, rounds,
                                          supply_of(upstreams, request.regions), now,
                                          opts));
        auto const step = next_offer(
            *choice,
            {.last_round = rounds.last_round(),
             .refused_by = rounds.refused_by(),
             .refused = progress.refused,
             .offer_if_full = memory.worth_offering(cost.request_class, random.next())},
            request.deadline - now, opts.offers);
        if (step == offer_step::refuse)
            return decided(refuse_without_room(progress, choice->wait));
        if (step == offer_step::last_round)
        {
            rounds.begin_last_round();
            continue;
        }
        auto const count = rounds.usable().size();
        bool const may_go_on = count > 1 && !rounds.last_round();
        offer_terms const terms{.choice = *choice,
                                .candidates = count,
                                .start_until =
                                    may_go_on ? now + opts.offers.first_round_max_wait
                                              : request.deadline};
        if (is_here(upstreams, choice->node))
            return decided(run_here{terms});
        return decided(send_to_node{.node = choice->node, .terms = terms});
    }
}

next_step next_keyed_step(step_request const& request,
                          std::optional<step_owner> const& owner,
                          region_supply const& supply, instant now,
                          step_options const& opts)
{
    if (!owner)
    {
        auto const after =
            refusal_without_upstream(request.regions, supply, now, opts.regions);
        if (!after)
            return {.action = wait_or_refuse(request, now, opts)};
        return {.action = refuse_with{.reason = outcome_reason::no_region,
                                      .retry_after = *after,
                                      .why = "no upstream there can be used"}};
    }
    if (auto const after = refusal_at_owner(request.regions, owner->region,
                                            owner->successor, opts.regions))
        return {.action = refuse_with{.reason = outcome_reason::no_region,
                                      .retry_after = *after,
                                      .why = "the shard is owned by " + owner->node +
                                             " in " + owner->region}};
    if (owner->evacuated)
        return {.action = wait_for_other_domain(request, now, opts)};
    if (owner->here)
        return {.action = run_here{}};
    return {.action = send_to_node{.node = owner->node, .terms = {}}};
}

} // namespace buckthornusher
