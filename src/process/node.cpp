// The daemon: see the header.
#include "process/node.hpp"

#include "buckthornusher/coordinator.hpp"
#include "connection/http_server.hpp"
#include "connection/peer_socket.hpp"
#include "connection/store_client.hpp"
#include "connection/wire.hpp"
#include "process/agent.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/ingress.hpp"
#include "process/log.hpp"
#include "process/metrics.hpp"
#include "process/operator_api.hpp"
#include "process/shard_handover.hpp"

#include "wire.pb.h"

#include <atomic>
#include <random>
#include <set>

namespace buckthornusher
{

namespace
{

constexpr duration control_period = 50ms;
constexpr duration request_period = 10ms;
constexpr duration longest_stop = 20s;
constexpr duration peer_review_period = 30s;
constexpr duration stop_grace = 300ms; // callers' last answers leave

// Headers of callers that are passed on to the upstream.
std::vector<std::string> caller_headers()
{
    return {"accept", "authorization", "x-request-id", "buckthornusher-operation",
            "buckthornusher-deadline-ms"};
}

// Later than all incarnations of the node that are known, also if this VM's clock is
// behind.
std::uint64_t new_incarnation(std::string const& node, replica const& known)
{
    timespec ts{};
    clock_gettime(CLOCK_REALTIME, &ts);
    auto incarnation = static_cast<std::uint64_t>(ts.tv_sec) * 1'000'000 +
                       static_cast<std::uint64_t>(ts.tv_nsec) / 1'000;
    for (auto const& entry : known.members())
        if (entry.first.node == node)
            incarnation = std::max(incarnation, entry.first.incarnation + 1);
    return incarnation;
}

} // namespace

struct node::impl
{
    explicit impl(node_settings s)
        : settings(std::move(s)),
          peers(loop, endpoint(),
                [this](peer_route const& route, wire::Envelope const& m)
                { on_peer(route, m); }),
          store(loop, {.address = settings.store_address, .port = settings.store_port}),
          coord(make_coordinator({}, {})), local(loop, *coord, settings.address),
          requests(loop, *coord, local, peers, counts), handover(*coord, local, peers),
          operators({.settings = settings,
                     .loop = loop,
                     .local = local,
                     .store = store,
                     .counts = counts,
                     .peers = peers,
                     .requests = requests,
                     .coord = coord}),
          callers(loop,
                  {.address = settings.address,
                   .port = settings.caller_port,
                   .header_names = caller_headers()},
                  [this](http_request request, http_reply reply)
                  { requests.on_request(std::move(request), reply); }),
          operator_server(loop,
                          {.address = settings.address, .port = settings.operator_port},
                          [this](http_request request, http_reply reply)
                          { operators.handle(std::move(request), reply); })
    {
    }

    node_settings settings;
    event_loop loop;
    metrics counts;
    peer_socket peers;
    store_client store;
    std::vector<keyed_service> services;
    duration unfenced_wait{0};
    std::unique_ptr<coordinator> coord;
    std::vector<target> known_targets;
    agent local;
    ingress requests;
    shard_handover handover;
    operator_api operators;
    http_server callers;
    http_server operator_server;
    std::uint64_t config_number = 0;
    std::atomic<int> stops{0};
    bool leaving = false;
    bool left = false;
    instant stop_by;
    bool carrying_out = false;
    instant next_peer_review;

    std::string endpoint() const
    {
        return "tcp://" + settings.address + ":" + std::to_string(settings.peer_port);
    }

    std::unique_ptr<coordinator> make_coordinator(std::vector<target> targets,
                                                  replica known)
    {
        auto const incarnation = new_incarnation(settings.name, known);
        return std::make_unique<coordinator>(coordinator_options{
            .self = {.node = settings.name, .incarnation = incarnation},
            .endpoint = endpoint(),
            .region = settings.region,
            .domain = settings.domain,
            .targets = std::move(targets),
            .services = services,
            .lease = {},
            .planning = {},
            .guard = {},
            .seed = std::random_device{}(),
            .known = std::move(known)});
    }

    // ---- effects ----

    // Returns whether there were any.
    bool carry_out()
    {
        if (carrying_out)
            return false; // the outer call goes on until there are none
        bool any = false;
        carrying_out = true;
        for (auto effects = coord->take_effects(); !effects.empty();
             effects = coord->take_effects())
        {
            any = true;
            for (auto& e : effects)
                std::visit([this](auto& effect) { apply(effect); }, e);
        }
        carrying_out = false;
        return any;
    }

    void apply(send_message& effect)
    {
        auto const* m = coord->copy().member(effect.to);
        if (m == nullptr)
            return;
        wire::Envelope message;
        encode(coord->self(), *message.mutable_sender());
        encode(effect.message, message);
        peers.send(m->endpoint, message);
    }

    void apply(call_store& effect)
    {
        auto const member = coord->self();
        store.call(effect.operation,
                   [this, id = effect.id, member](store_answer answer)
                   {
                       if (coord->self() != member)
                           return; // asked by an earlier incarnation
                       coord->on_store_answer(id, answer, boot_now());
                       carry_out();
                   });
    }

    void apply(shard_drained& effect) { handover.on_drained(effect, boot_now()); }

    void apply(replica_changed& /*effect*/)
    {
        follow_config();
        auto const now = boot_now();
        local.on_replica_changed(now);
        requests.on_replica_changed(now);
    }

    void apply(membership_ended& effect)
    {
        if (effect.planned)
        {
            log_event(log_level::info, "left");
            left = true;
            return;
        }
        log_event(log_level::warning, "evicted", {{"member", to_text(coord->self())}});
        // Replaced outside of the loop over effects.
        loop.timers().at(boot_now(), [this](instant) { rejoin(); });
    }

    static std::string to_text(member_id const& id)
    {
        return id.node + "@" + std::to_string(id.incarnation);
    }

    void rejoin()
    {
        auto fresh = make_coordinator(known_targets, coord->take_copy());
        local.set_coordinator(*fresh);
        requests.set_coordinator(*fresh);
        handover.set_coordinator(*fresh);
        coord = std::move(fresh);
        coord->start(boot_now());
        carry_out();
    }

    void follow_config()
    {
        auto const* config = coord->copy().config();
        if (config == nullptr || config->number <= config_number)
            return;
        auto parsed = parse_document(config->document);
        if (!parsed)
        {
            log_event(log_level::error, "config-refused",
                      {{"number", std::to_string(config->number)},
                       {"error", to_string(parsed.error().front())}});
            return;
        }
        config_number = config->number;
        services.clear();
        unfenced_wait = 0us;
        for (auto const& service : parsed.value().services)
        {
            if (!service.keyed)
                continue;
            services.push_back({.name = service.name, .shards = service.shards});
            // Such an upstream may go on with a request for as long as any may take.
            if (!service.fenced)
                unfenced_wait = std::max(unfenced_wait, service.deadline);
        }
        coord->set_services(services, unfenced_wait);
        auto const routes =
            std::make_shared<route_table const>(std::move(parsed).value());
        requests.set_routes(routes);
        local.set_routes(routes);
        auto headers = caller_headers();
        for (auto& name : routes->key_headers())
            headers.push_back(std::move(name));
        callers.set_header_names(std::move(headers));
        log_event(log_level::info, "config-in-force",
                  {{"number", std::to_string(config_number)}});
    }

    // ---- messages ----

    void on_peer(peer_route const& route, wire::Envelope const& message)
    {
        switch (message.body_case())
        {
        case wire::Envelope::kForward:
            return requests.on_forward(route, message);
        case wire::Envelope::kReply:
            return requests.on_reply(message);
        case wire::Envelope::kHello:
            return requests.on_hello(route);
        case wire::Envelope::kHelloAck:
            return requests.on_hello_ack(message);
        case wire::Envelope::kCancel:
            return requests.on_cancel(route, message);
        case wire::Envelope::kPull:
            return answer_pull(route, message);
        case wire::Envelope::kHandover:
            return handover.on_handover(route, message, boot_now());
        case wire::Envelope::kHandoverAck:
            return handover.on_ack(message, boot_now());
        default:
            break;
        }
        if (auto const control = decode_control(message))
        {
            coord->on_message(decode(message.sender()), *control, boot_now());
            carry_out();
        }
    }

    // Answered down the connection, as the asker may not be in the replica yet.
    void answer_pull(peer_route const& route, wire::Envelope const& message)
    {
        auto const& copy = coord->copy();
        auto const from = message.pull().from();
        if (from >= copy.revision())
            return;
        wire::Envelope out;
        encode(coord->self(), *out.mutable_sender());
        encode(control_message(deltas{.from = from,
                                      .to = copy.revision(),
                                      .objects = copy.changed_since(from)}),
               out);
        peers.reply(route, out);
    }

    // ---- time ----

    void tick(instant now)
    {
        auto const targets = local.targets(now);
        if (targets != known_targets)
        {
            known_targets = targets;
            coord->set_targets(targets);
        }
        if (coord->copy().revision() == 0)
            ask_seeds();
        if (now >= next_peer_review)
            review_peers(now);
        coord->tick(now);
        carry_out();
        follow_stop(now);
    }

    // Closes connections to endpoints that no member has any more.
    void review_peers(instant now)
    {
        next_peer_review = now + peer_review_period;
        std::set<std::string> endpoints(settings.seeds.begin(), settings.seeds.end());
        for (auto const& entry : coord->copy().members())
            if (entry.second.state != member_state::gone)
                endpoints.insert(entry.second.endpoint);
        peers.keep_only(endpoints);
    }

    void ask_seeds()
    {
        wire::Envelope message;
        encode(coord->self(), *message.mutable_sender());
        message.mutable_pull()->set_from(0);
        for (auto const& seed : settings.seeds)
            peers.send(seed, message);
    }

    void follow_stop(instant now)
    {
        if (stops == 0)
            return;
        if (!leaving)
        {
            leaving = true;
            stop_by = now + longest_stop;
            log_event(log_level::info, "stopping");
            coord->leave(now);
            carry_out();
        }
        bool const idle = requests.unfinished() == 0 && local.unfinished() == 0;
        if (left && idle && !ending)
        {
            ending = true;
            loop.timers().at(now + stop_grace, [this](instant) { loop.stop(); });
        }
        if (now >= stop_by || stops > 1)
            loop.stop();
        if (left)
            requests.begin_stopping();
    }

    bool ending = false;
};

node::node(node_settings settings) : m_impl(std::make_unique<impl>(std::move(settings)))
{
}

node::~node() = default;

int node::run()
{
    auto& s = *m_impl;
    auto const now = boot_now();
    s.loop.timers().every(now, control_period, [&s](instant t) { s.tick(t); });
    s.loop.timers().every(now, request_period,
                          [&s](instant t)
                          {
                              s.local.tick(t);
                              s.handover.tick(t);
                              s.requests.tick(t);
                              s.carry_out();
                          });
    // Ends of requests may release shards.
    s.loop.after_round([&s] { return s.carry_out(); });
    log_event(log_level::info, "started", {{"member", impl::to_text(s.coord->self())}});
    s.coord->start(now);
    s.carry_out();
    s.loop.run();
    log_event(log_level::info, "stopped", {{"clean", s.left ? "yes" : "no"}});
    return s.left ? 0 : 1;
}

void node::request_stop()
{
    ++m_impl->stops;
}

} // namespace buckthornusher
