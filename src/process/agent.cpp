// The only way to the upstreams beside a node: see the header.
#include "process/agent.hpp"

#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

namespace buckthornusher
{

namespace
{

constexpr duration announcement_kept = 3s;
constexpr std::size_t most_waiting = 10'000; // orders that wait for their shards
constexpr std::size_t largest_kept_answer = 4'096;
constexpr duration wait_retry = 100ms;
constexpr char const* old_setup_link = "old setup"; // no service can have this name

template <class... Ts>
struct overloaded : Ts...
{
    using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

} // namespace

struct agent::link
{
    announcement described;
    instant last_announced;
    http_client http;
    admission gate;
};

struct agent::work
{
    enum class state
    {
        waiting, // for the shard
        queued,  // for a slot
        running,
    };

    order_id id = 0;
    order o;
    callback done;
    state at = state::waiting;
    std::uint64_t epoch = 0;
    std::string backend;  // the link that it goes to
    bool counted = false; // in m_backends
    bool begun = false;   // counted by the coordinator
    std::optional<operation_id> operation;
    std::optional<http_client::call_id> call;
};

agent::agent(event_loop& loop, coordinator& coord, std::string upstream_address)
    : m_loop(loop), m_coordinator(&coord),
      m_upstream_address(std::move(upstream_address)), m_operations({}),
      m_random(std::random_device{}())
{
}

agent::~agent() = default;

agent::order_id agent::run(order o, callback done)
{
    auto const id = m_next_id++;
    auto& w = *(m_works[id] = std::make_unique<work>());
    w.id = id;
    w.o = std::move(o);
    w.done = std::move(done);
    try_begin(w, boot_now());
    return id;
}

void agent::try_begin(work& w, instant now)
{
    if (!w.o.shard)
        return admit(w, now);
    auto const check = m_coordinator->try_begin({w.o.service, *w.o.shard}, now);
    std::visit(
        overloaded{
            [&](may_run const& run)
            {
                m_waiting.erase(w.id);
                w.begun = true;
                w.epoch = run.epoch;
                admit(w, now);
            },
            [&](owned_elsewhere const& other)
            { finish(w, order_moved{.owner = other.owner, .epoch = other.epoch}); },
            [&](not_yet const&)
            {
                if (m_waiting.size() >= most_waiting)
                    finish(w, order_refused{.why = reason::no_owner,
                                            .retry_after = wait_retry});
                else
                    m_waiting.insert(w.id);
            },
        },
        check);
}

// False: the order has been answered from the table of operations.
bool agent::check_operation(work& w, instant now)
{
    auto const& text = w.o.operation;
    if (text.empty() || idempotent(w.o.request) || !w.o.shard)
        return true;
    if (text == "new")
    {
        operation_id const made{.epoch = w.epoch,
                                .shard = *w.o.shard,
                                .made = to_micros(now),
                                .nonce = m_random()};
        http_response response{.status = 201};
        response.headers.push_back({"buckthornusher-operation", to_string(made)});
        response.body = to_string(made) + "\n";
        finish(w, order_answered{std::move(response)});
        return false;
    }
    auto const id = parse_operation_id(text);
    if (!id)
        return finish(w, order_refused{.why = reason::operation_invalid}), false;
    auto const verdict = m_operations.begin({w.o.service, *w.o.shard}, w.epoch, *id, now);
    return std::visit(
        overloaded{
            [&](operation_starts const&)
            {
                w.operation = id;
                return true;
            },
            [&](operation_done const& done)
            {
                http_response response{.status = done.answer.status,
                                       .body = done.answer.body};
                response.headers.push_back({"content-type", done.answer.content_type});
                finish(w, order_answered{std::move(response)});
                return false;
            },
            [&](operation_in_progress const&)
            {
                finish(w, order_refused{.why = reason::operation_running,
                                        .retry_after = wait_retry});
                return false;
            },
            [&](operation_lost const&)
            {
                finish(w, order_unknown{.why = reason::operation_unknown});
                return false;
            },
            [&](operation_refused const&)
            {
                finish(w,
                       order_refused{.why = reason::operations_full, .retry_after = 1s});
                return false;
            },
        },
        verdict);
}

std::unique_ptr<agent::link> agent::make_link(announcement const& a,
                                              std::string const& address)
{
    auto const slots = std::min(a.slots, a.connections);
    return std::unique_ptr<link>(
        new link{.described = a,
                 .last_announced = {},
                 .http = {m_loop,
                          {.address = address,
                           .port = a.port,
                           .max_connections = slots,
                           .header_names = {"buckthornusher-ran"}}},
                 .gate = admission({.slots = slots})});
}

void agent::set_routes(std::shared_ptr<route_table const> routes)
{
    m_routes = std::move(routes);
    auto const& old = m_routes->source().old_setup;
    if (old.port == 0 || m_links.contains(old_setup_link))
        return;
    m_links[old_setup_link] = make_link({.service = old_setup_link,
                                         .port = old.port,
                                         .slots = old.connections,
                                         .connections = old.connections},
                                        old.address);
}

// Decides whether the order goes to the upstream or to the old setup. False: it must wait
// until the orders of its shard at the other one have ended.
bool agent::choose_backend(work& w)
{
    w.backend = w.o.service;
    if (!w.o.shard || m_routes == nullptr || m_routes->source().departments.empty())
        return true;
    auto const match = m_routes->find(w.o.request);
    bool const old = match && m_routes->is_old(w.o.service, match->key);
    auto& counts = m_backends[{w.o.service, *w.o.shard}];
    if ((old ? counts.upstream : counts.old_setup) > 0)
        return false;
    ++(old ? counts.old_setup : counts.upstream);
    w.counted = true;
    if (old)
        w.backend = old_setup_link;
    return true;
}

void agent::admit(work& w, instant now)
{
    if (!choose_backend(w))
    {
        m_coordinator->end({w.o.service, *w.o.shard});
        w.begun = false;
        m_waiting.insert(w.id);
        return;
    }
    auto const it = m_links.find(w.backend);
    if (it == m_links.end())
        return finish(
            w, order_refused{.why = reason::not_reached, .retry_after = wait_retry});
    if (!check_operation(w, now))
        return;
    auto& gate = it->second->gate;
    auto const verdict = gate.arrive(
        now, {.id = w.id, .deadline = w.o.deadline, .ordered = !idempotent(w.o.request)});
    if (verdict == admission_verdict::refuse)
        return finish(w, order_refused{.why = reason::overloaded,
                                       .retry_after = gate.retry_after()});
    w.at = work::state::queued;
    if (verdict == admission_verdict::start)
        start(w, now);
}

http_request agent::upstream_request(work const& w) const
{
    auto request = w.o.request;
    if (!w.o.shard)
        return request;
    request.headers.push_back({"buckthornusher-epoch", std::to_string(w.epoch)});
    request.headers.push_back({"buckthornusher-shard", std::to_string(*w.o.shard)});
    request.headers.push_back({"buckthornusher-lease-until",
                               std::to_string(to_micros(m_coordinator->lease_until()))});
    if (w.operation)
        request.headers.push_back({"buckthornusher-operation", to_string(*w.operation)});
    return request;
}

// Sends the order to the upstream, if the shard is still owned and there is time.
void agent::start(work& w, instant now)
{
    auto& l = *m_links.at(w.backend);
    w.at = work::state::running;
    auto until = w.o.deadline;
    auto why = now < until ? reason::none : reason::deadline;
    if (w.o.shard)
    {
        until = std::min(until, m_coordinator->lease_until());
        if (!m_coordinator->may_send({w.o.service, *w.o.shard}, w.epoch, now))
            why = reason::lease_over;
    }
    if (why != reason::none)
    {
        auto const service = w.o.service;
        finish(w, order_refused{.why = why, .retry_after = wait_retry});
        return start_all(l.gate.leave(now, request_end::not_sent, 0us), now);
    }
    auto const id = w.id;
    auto const call = l.http.call(upstream_request(w), until - now,
                                  [this, id, now](http_result r)
                                  { on_upstream(id, now, std::move(r)); });
    if (auto const it = m_works.find(id); it != m_works.end())
        it->second->call = call;
}

void agent::start_all(std::vector<std::uint64_t> const& ids, instant now)
{
    for (auto const id : ids)
        if (auto const it = m_works.find(id); it != m_works.end())
            start(*it->second, now);
}

void agent::on_upstream(order_id id, instant started, http_result result)
{
    auto const it = m_works.find(id);
    if (it == m_works.end())
        return;
    auto& w = *it->second;
    auto& l = *m_links.at(w.backend);
    auto const now = boot_now();
    auto end = request_end::completed;
    if (result.has_value())
    {
        bool const shed =
            find_header(result.value().headers, "buckthornusher-ran") == "no";
        if (shed)
        {
            end = request_end::shed;
            finish(w, order_refused{.why = reason::upstream_refused,
                                    .retry_after = wait_retry});
        }
        else
            finish(w, order_answered{std::move(result).value()});
    }
    else if (result.error().sent)
        finish(w, order_unknown{.why = reason::answer_lost});
    else
    {
        end = request_end::not_sent;
        finish(w,
               order_refused{.why = reason::upstream_refused, .retry_after = wait_retry});
    }
    start_all(l.gate.leave(now, end, now - started), now);
}

void agent::settle_operation(work& w, order_result const& result)
{
    if (!w.operation)
        return;
    auto const& service = w.o.service;
    if (auto const* answered = std::get_if<order_answered>(&result))
    {
        auto const& response = answered->response;
        if (response.body.size() > largest_kept_answer)
            return m_operations.lose(service, *w.operation);
        m_operations.finish(
            service, *w.operation,
            {.status = response.status,
             .content_type = std::string(find_header(response.headers, "content-type")),
             .body = response.body});
    }
    else if (std::holds_alternative<order_unknown>(result))
        m_operations.lose(service, *w.operation);
    else
        m_operations.abandon(service, *w.operation);
}

void agent::finish(work& w, order_result result)
{
    settle_operation(w, result);
    auto const owned = m_works.extract(w.id); // keeps `w` until the end
    m_waiting.erase(w.id);
    auto const done = std::move(w.done);
    if (w.counted)
    {
        auto& counts = m_backends[{w.o.service, *w.o.shard}];
        --(w.backend == old_setup_link ? counts.old_setup : counts.upstream);
    }
    if (w.begun)
        m_coordinator->end({w.o.service, *w.o.shard});
    if (done)
        done(std::move(result));
}

void agent::cancel(order_id id)
{
    auto const it = m_works.find(id);
    if (it == m_works.end())
        return;
    auto& w = *it->second;
    w.done = nullptr;
    if (w.at == work::state::running)
    {
        if (w.call && idempotent(w.o.request))
            m_links.at(w.backend)->http.cancel(*w.call);
        return;
    }
    if (w.at == work::state::queued)
        m_links.at(w.backend)->gate.cancel(id);
    finish(w, order_refused{.why = reason::deadline});
}

void agent::on_announcement(announcement const& a, instant now)
{
    auto& l = m_links[a.service];
    if (l == nullptr)
        l = make_link(a, m_upstream_address);
    l->last_announced = now;
}

std::vector<target> agent::targets(instant now)
{
    std::vector<target> found;
    for (auto const& [service, l] : m_links)
        if (service != old_setup_link && now - l->last_announced < announcement_kept)
            found.push_back({.service = service, .slots = l->described.slots});
    return found;
}

void agent::on_replica_changed(instant now)
{
    auto const waiting = m_waiting; // try_begin changes the set
    for (auto const id : waiting)
        if (auto const it = m_works.find(id); it != m_works.end())
            try_begin(*it->second, now);
}

void agent::tick(instant now)
{
    on_replica_changed(now); // the lease may have been renewed
    auto const waiting = m_waiting;
    for (auto const id : waiting)
        if (auto const it = m_works.find(id);
            it != m_works.end() && it->second->o.deadline <= now)
            finish(*it->second,
                   order_refused{.why = reason::no_owner, .retry_after = wait_retry});
    for (auto const& entry : m_links)
        for (auto const id : entry.second->gate.expire(now))
            if (auto const it = m_works.find(id); it != m_works.end())
                finish(*it->second,
                       order_refused{.why = reason::deadline,
                                     .retry_after = entry.second->gate.retry_after()});
}

} // namespace buckthornusher
