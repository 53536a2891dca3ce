// Choice of an upstream for a request without a key; see the header.
#include "buckthornusher/placement.hpp"

#include "buckthornusher/reported_load.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace buckthornusher
{

namespace
{

constexpr double failure_weight = 0.15;   // of the newest result
constexpr double delay_weight = 0.3;      // of the newest round trip
constexpr double delay_half_life = 1.0;   // seconds without a round trip
constexpr double failure_half_life = 2.0; // seconds without a result
constexpr double max_failure_share = 0.9;
constexpr auto least_urgent_rank = std::numeric_limits<std::uint32_t>::max();
constexpr double bytes_per_kib = 1'024;
constexpr double max_link_seconds = 60;
// Weight of an assumed report without load, relative to a recent report.
constexpr double no_load_weight = 0.25;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration from_seconds(double s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

// Returns the number of requests that the upstream can have at once; fewer than its slots
// while it is cold. `age`: of the report.
double usable_slots(upstream_load const& load, double service_s, duration age)
{
    auto const slots = static_cast<double>(std::max(1U, load.slots));
    if (load.start_rate <= 0 || age >= load.bounded_for)
        return slots;
    return std::clamp(load.start_rate * service_s, 1.0, slots);
}

duration expected_wait(upstream_load const& load, std::uint32_t rank, duration service)
{
    bool const backlog_known = load.waiting == 0 || !load.backlog.empty();
    if (!backlog_known)
        return service * (load.waiting + 1) / std::max(1U, load.slots);
    return wait_of_rank(rank, load.until_slot, load.backlog);
}

} // namespace

duration wait_of_rank(std::uint32_t rank, duration until_slot,
                      std::vector<rank_backlog> const& backlog)
{
    auto wait = until_slot;
    for (auto const& b : backlog)
        if (b.rank <= rank)
            wait += b.time;
    return wait;
}

double placement::decaying_mean::at(instant now, double half_life) const
{
    return value * std::exp2(-seconds(now - updated) / half_life);
}

void placement::decaying_mean::add(double sample, double weight, double half_life,
                                   instant now)
{
    auto const decayed = at(now, half_life);
    value = decayed + weight * (sample - decayed);
    updated = now;
}

void placement::on_load(std::string const& node, upstream_load const& load, instant now,
                        std::string const& request_class)
{
    auto const usual = from_seconds(seconds(load.service) / load.slowness);
    m_times.note(node, request_class, load.slowness == 1 ? load.service : usual, now);
    auto& e = m_entries[node];
    e.load = load;
    e.load_received = now;
    e.sent_since = 0;
}

void placement::on_sent(std::string const& node)
{
    auto& e = m_entries[node];
    ++e.sent_since;
    ++e.outstanding;
}

void placement::on_done(std::string const& node, bool failed, instant now)
{
    auto& e = m_entries[node];
    if (e.outstanding > 0)
        --e.outstanding;
    if (!e.load && e.sent_since > 0)
        --e.sent_since;
    e.failure.add(failed ? 1.0 : 0.0, failure_weight, failure_half_life, now);
}

void placement::on_round_trip(std::string const& node, distance away, duration round_trip,
                              instant now)
{
    auto const delay = std::max(0.0, seconds(round_trip - usual_round_trip(away)));
    m_entries[node].delay.add(delay, delay_weight, delay_half_life, now);
}

void placement::avoid(std::string const& node, instant until)
{
    m_entries[node].avoid_until = until;
}

// Returns the weight of a node's report, 1 while it is recent.
double placement::report_weight(entry const& e, instant now) const
{
    auto const age = now - e.load_received;
    auto const stale = std::max(duration{0}, age - m_options.full_weight_age);
    return std::exp2(-seconds(stale) / seconds(m_options.report_half_life));
}

// The load to assume is the mean over the reports by their weights. While little is known
// it is low, so that upstreams are tried.
placement::assumed_load placement::assume(std::vector<placement_candidate> const& from,
                                          placement_request const& request,
                                          instant now) const
{
    std::vector<std::string_view> nodes;
    double weights = no_load_weight;
    double busy_share = 0;
    double wait = 0;
    double link_wait = 0;
    for (auto const& c : from)
    {
        nodes.push_back(c.node);
        auto const it = m_entries.find(c.node);
        if (it == m_entries.end() || !it->second.load || !it->second.load->accepting)
            continue;
        auto const& load = *it->second.load;
        auto const weight = report_weight(it->second, now);
        weights += weight;
        busy_share += weight * std::min(1.0, static_cast<double>(load.running) /
                                                 std::max(1U, load.slots));
        wait += weight * seconds(expected_wait(load, request.rank, load.service));
        link_wait += weight * seconds(load.link_wait);
    }
    return {.slowness = m_times.unknown_slowness(nodes, now),
            .busy_share = busy_share / weights,
            .wait = wait / weights,
            .link_wait = link_wait / weights};
}

duration placement::cost_of_contest(double used_share) const
{
    auto const beyond =
        (used_share - m_options.contested_from) / (1 - m_options.contested_from);
    return from_seconds(seconds(m_options.contested_cost) * std::clamp(beyond, 0.0, 1.0));
}

duration placement::usual_round_trip(distance away) const
{
    return away == distance::other_region ? m_options.far_round_trip
                                          : m_options.near_round_trip;
}

duration placement::region_cost(double exchange_bytes) const
{
    return m_options.region_penalty +
           from_seconds(seconds(m_options.region_penalty_per_kib) * exchange_bytes /
                        bytes_per_kib);
}

duration placement::distance_cost(distance away, double exchange_bytes) const
{
    auto const round_trip = usual_round_trip(away);
    switch (away)
    {
    case distance::same_domain:
        break;
    case distance::same_region:
        return round_trip + m_options.domain_penalty;
    case distance::other_region:
        return round_trip + region_cost(exchange_bytes);
    }
    return round_trip;
}

std::optional<placement_choice> placement::estimate(placement_candidate const& c,
                                                    placement_request const& request,
                                                    assumed_load const& assumed,
                                                    instant now) const
{
    auto const distance_cost = this->distance_cost(c.away, request.exchange_bytes);
    auto const service =
        m_times.expected(c.node, request.request_class, assumed.slowness, now)
            .value_or(m_options.default_service);
    auto const it = m_entries.find(c.node);
    if (it == m_entries.end())
        return placement_choice{.node = c.node,
                                .expected = distance_cost + service + c.silence};
    auto const& e = it->second;
    if (now < e.avoid_until)
        return std::nullopt;
    auto const s = seconds(service) *
                   (e.load ? fade_slowness(e.load->slowness, now - e.load_received) : 1);
    auto const slots = e.load ? usable_slots(*e.load, s, now - e.load_received)
                              : static_cast<double>(std::max(1U, c.slots));
    double busy = 0;
    double wait = 0;
    bool load_known = false;
    bool full = false;
    if (e.load)
    {
        if (!e.load->accepting && now - e.load_received < m_options.full_weight_age * 4)
            return std::nullopt;
        auto const weight = report_weight(e, now);
        busy = weight * e.load->running + (1 - weight) * assumed.busy_share * slots;
        wait = weight * seconds(expected_wait(*e.load, request.rank, service)) +
               (1 - weight) * assumed.wait;
        load_known = now - e.load_received < m_options.full_weight_age;
        full = load_known &&
               (e.load->waiting > 0 || e.load->running + e.sent_since >= slots);
    }
    // The requests sent since the report take the free slots first. A reported wait
    // already includes the time until the first slot is free.
    auto const free = std::max(0.0, slots - busy);
    auto const beyond =
        wait > 0 ? e.sent_since : std::max(0.0, e.sent_since + 1.0 - free);
    wait += beyond * s / slots;
    if (!e.load)
        wait = e.outstanding * s;
    auto const delay = e.delay.at(now, delay_half_life) + seconds(c.silence);
    auto const failing =
        std::min(max_failure_share, e.failure.at(now, failure_half_life));
    placement_choice choice{.node = c.node,
                            .expected = distance_cost +
                                        from_seconds(delay + (s + wait) / (1 - failing)),
                            .wait = from_seconds(wait),
                            .load_known = load_known,
                            .full = full};
    if (c.contested)
        choice.expected += cost_of_contest((busy + e.sent_since) / slots);
    if (request.large_answer && e.load)
        add_link(choice, e, request, service, assumed.link_wait, now);
    return choice;
}

// `assumed_wait`: for a link of which nothing recent is known, in seconds.
void placement::add_link(placement_choice& choice, entry const& e,
                         placement_request const& request, duration service,
                         double assumed_wait, instant now) const
{
    if (e.load->link_rate <= 0)
        return;
    auto const weight = report_weight(e, now);
    auto const link_wait =
        from_seconds(weight * seconds(e.load->link_wait) + (1 - weight) * assumed_wait);
    auto const on_link = from_seconds(
        std::min(max_link_seconds, request.exchange_bytes / e.load->link_rate));
    choice.expected = std::max(choice.expected, link_wait) + on_link;
    choice.wait = std::max(choice.wait, link_wait - service - m_options.link_ahead);
    auto const until_room = link_wait + on_link - request.due_in;
    if (choice.load_known && request.due_in > duration{0} && until_room > duration{0})
    {
        choice.full = true;
        choice.wait = std::max(choice.wait, until_room);
        choice.expected += region_cost(request.exchange_bytes);
    }
}

std::optional<placement_choice>
placement::choose(std::vector<placement_candidate> const& from,
                  placement_request const& request, std::uint64_t draw, instant now) const
{
    std::vector<placement_choice> choices;
    auto const assumed = assume(from, request, now);
    for (auto const& c : from)
        if (auto e = estimate(c, request, assumed, now))
            choices.push_back(std::move(*e));
    if (choices.empty())
        return std::nullopt;
    auto const best = std::min_element(choices.begin(), choices.end(),
                                       [](auto const& a, auto const& b)
                                       { return a.expected < b.expected; })
                          ->expected;
    auto const bound = best + from_seconds(seconds(best) * m_options.tie);
    std::erase_if(choices, [&](auto const& c) { return c.expected > bound; });
    return choices[draw % choices.size()];
}

offer_step next_offer(placement_choice const& choice, offers_made const& made,
                      duration left, offer_options const& opts)
{
    if (made.last_round && made.refused_by >= opts.max_last_round_refusals)
        return offer_step::refuse;
    if (made.refused && choice.full && !made.offer_if_full)
        return offer_step::refuse;
    if (!choice.load_known)
        return offer_step::ask;
    if (choice.wait >= left)
        return offer_step::refuse;
    bool const soon = choice.wait <= opts.first_round_max_wait;
    return soon || made.last_round ? offer_step::ask : offer_step::last_round;
}

std::string placement::describe(std::string const& node, instant now) const
{
    auto const it = m_entries.find(node);
    if (it == m_entries.end() || !it->second.load)
        return "unknown";
    auto const& e = it->second;
    auto const in_ms = [](duration d)
    {
        return std::to_string(d.count() / 1'000);
    };
    auto text =
        std::to_string(e.load->running) + "/" + std::to_string(e.load->slots) + "+" +
        std::to_string(e.load->waiting) + "~" + in_ms(e.load->service) + "ms," +
        in_ms(expected_wait(*e.load, least_urgent_rank, e.load->service)) + "ms-wait," +
        in_ms(now - e.load_received) + "ms," + std::to_string(e.sent_since) + "sent";
    if (e.load->link_rate > 0)
        text.append(",").append(in_ms(e.load->link_wait)).append("ms-link");
    return text;
}

void placement::keep_only(std::vector<std::string> const& nodes)
{
    std::erase_if(
        m_entries, [&](auto const& e)
        { return std::find(nodes.begin(), nodes.end(), e.first) == nodes.end(); });
    m_times.keep_only(nodes);
}

} // namespace buckthornusher
