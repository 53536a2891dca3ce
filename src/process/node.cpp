// The daemon: see the header.
#include "process/node.hpp"

#include "buckthornusher/coordinator.hpp"
#include "buckthornusher/planned_stop.hpp"
#include "connection/http_server.hpp"
#include "connection/peer_socket.hpp"
#include "connection/store_client.hpp"
#include "connection/wire.hpp"
#include "coordination/roles.hpp"
#include "platform/reports.hpp"
#include "process/agent.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/ingress.hpp"
#include "process/log.hpp"
#include "process/metrics.hpp"
#include "process/operator_api.hpp"
#include "process/order_server.hpp"
#include "process/overloaded.hpp"
#include "process/part_options.hpp"
#include "process/peer_table.hpp"
#include "process/shard_handover.hpp"
#include "process/state_log.hpp"

#include "wire.pb.h"

#include <atomic>
#include <optional>
#include <random>
#include <set>

namespace buckthornusher
{

namespace
{

constexpr duration control_period = 50ms;
constexpr duration request_period = 20ms;
constexpr duration peer_review_period = 30s;
constexpr duration longest_config_silence = 5s;
constexpr duration longest_config_watch = 2s;
// A watch that hangs is noticed so many times within the bound of the configuration.
constexpr int watches_in_bound = 4;
// Of the bound on a new document, for reading it and passing it on.
constexpr duration config_reserve = 600ms;
constexpr duration reload_period = 5s; // looks for settings that changed without a signal
constexpr duration load_report_period = 1s;
constexpr duration stop_grace = 300ms; // callers' last answers leave
// Later than all incarnations of the node that are known, also if this VM's clock is
// behind.
std::uint64_t new_incarnation(std::string const& node, replica const& known)
{
    timespec ts{};
    clock_gettime(CLOCK_REALTIME, &ts);
    auto incarnation = static_cast<std::uint64_t>(ts.tv_sec) * 1'000'000 +
                       static_cast<std::uint64_t>(ts.tv_nsec) / 1'000;
    if (auto const* m = known.node(node))
        incarnation = std::max(incarnation, m->id.incarnation + 1);
    return incarnation;
}

} // namespace

struct node::impl
{
    impl(node_settings s, settings_source from)
        : settings(std::move(s)), source(std::move(from)),
          peers(loop, "tcp://" + settings.peers,
                [this](peer_route const& route, wire::Envelope const& m)
                { on_peer(route, m); }),
          table(peers, settings.name, std::random_device{}(), {}),
          store(loop,
                {.address = to_address(settings.store),
                 .agent = settings.name,
                 .config_watch = std::min<duration>(
                     longest_config_watch, settings.config_bound / watches_in_bound),
                 .failed =
                     [this](store_failure const& f)
                 {
                     on_store_failure(f);
                 }}),
          store_state("store", settings.store), coord(make_coordinator({}, {})),
          local(loop, *coord,
                {.form = make_upstream_form(settings.form),
                 .report_interval = settings.report_interval,
                 .drain_limit = settings.drain_limit,
                 .tick_period = request_period}),
          served(local, peers, table, settings.name),
          requests(loop, *coord, local, peers, table, counts,
                   {.form = make_caller_form(settings.form),
                    .self = settings.name,
                    .region = settings.region,
                    .domain = settings.domain,
                    .origin = settings.service,
                    .retries = make_retries(settings)}),
          handover(*coord, local, peers, settings.form == wire_form::native),
          operators({.settings = settings,
                     .loop = loop,
                     .local = local,
                     .store = store,
                     .counts = counts,
                     .peers = peers,
                     .requests = requests,
                     .coord = coord}),
          callers(loop, {.address = to_address(settings.callers)},
                  [this](http_request request, http_reply const& reply)
                  { requests.on_request(std::move(request), reply); }),
          operator_server(loop, {.address = to_address(settings.operators)},
                          [this](http_request request, http_reply const& reply)
                          { operators.handle(std::move(request), reply); })
    {
        if (!settings.upstreams.empty())
            upstream_server.emplace(
                loop, http_server::options{.address = to_address(settings.upstreams)},
                [this](http_request const& request, http_reply const& reply)
                { on_announcement(request, reply); });
        if (!settings.readiness.empty())
            readiness_server.emplace(
                loop, http_server::options{.address = to_address(settings.readiness)},
                [this](http_request const&, http_reply const& reply)
                { reply.send({.status = ready() ? 200 : 503}); });
        if (!settings.metrics.empty())
            metrics_server.emplace(
                loop, http_server::options{.address = to_address(settings.metrics)},
                [this](http_request const&, http_reply const& reply)
                { reply.send({.body = operators.metrics_text()}); });
    }

    node_settings settings;
    settings_source source;
    event_loop loop;
    metrics counts;
    peer_socket peers;
    peer_table table;
    store_client store;
    dependency store_state;
    state_log beliefs;
    std::vector<keyed_service> services;
    duration unfenced_wait{0};
    bool ordered_configuration = false;
    std::unique_ptr<coordinator> coord;
    std::optional<std::vector<target>> known_targets;
    agent local;
    order_server served;
    ingress requests;
    shard_handover handover;
    operator_api operators;
    http_server callers;
    http_server operator_server;
    std::optional<http_server> upstream_server;
    std::optional<http_server> readiness_server;
    std::optional<http_server> metrics_server;
    std::uint64_t config_number = 0;
    std::uint64_t config_refused = 0; // the version of a document that was refused
    std::atomic<int> stops{0};
    std::atomic<std::uint64_t> stop_asked_us{0}; // of boot_now(), at the first request
    std::atomic<bool> reload_asked{false};
    instant next_reload;
    std::optional<planned_stop> stop; // once it was asked for
    bool left = false;
    bool closing = false;
    bool ending = false;
    bool carrying_out = false;
    instant next_peer_review;
    instant next_load_report;

    // Where the others reach this node.
    std::string endpoint() const
    {
        return "tcp://" + (settings.advertised_peers.empty() ? settings.peers
                                                             : settings.advertised_peers);
    }

    // Callers are welcome: they can be served with a configuration that is known.
    bool ready() const { return !stop && requests.routes() != nullptr; }

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
            .unfenced_wait = unfenced_wait,
            .ordered_configuration = ordered_configuration,
            .granted_upstreams = settings.form == wire_form::platform,
            .config_silence = std::min<duration>(longest_config_silence,
                                                 settings.config_bound - config_reserve),
            .lease = make_lease(settings),
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
                   [this, id = effect.id, member](store_answer const& answer)
                   {
                       if (store.reachable())
                           store_state.set(true, {}, boot_now());
                       if (coord->self() != member)
                           return; // asked by an earlier incarnation
                       coord->on_store_answer(id, answer, boot_now());
                       carry_out();
                   });
    }

    void on_store_failure(store_failure const& failure)
    {
        log_event(log_level::info, "store-call-failed",
                  {{"call", std::string(failure.call)}, {"what", failure.what}});
        if (!store.reachable())
            store_state.set(false, std::string(failure.call) + ": " + failure.what,
                            boot_now());
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
        auto fresh = make_coordinator(known_targets.value_or(std::vector<target>{}),
                                      coord->take_copy());
        if (known_targets)
            fresh->set_targets(*known_targets);
        local.set_coordinator(*fresh);
        requests.set_coordinator(*fresh);
        handover.set_coordinator(*fresh);
        coord = std::move(fresh);
        coord->start(boot_now());
        if (stop && stop->leaves())
            coord->leave(boot_now());
        carry_out();
    }

    void follow_config()
    {
        auto const* config = coord->copy().config();
        if (config == nullptr || config->number <= config_number ||
            config->number == config_refused)
            return;
        auto parsed = parse_in(settings.form, config->document);
        if (!parsed)
        {
            config_refused = config->number;
            log_event(log_level::error, "config-refused",
                      {{"number", std::to_string(config->number)},
                       {"error", to_string(parsed.error().front())}});
            return;
        }
        config_number = config->number;
        auto const routes =
            std::make_shared<route_table const>(std::move(parsed).value());
        set_services(routes->source());
        requests.set_routes(routes, config_number);
        local.set_routes(routes);
        callers.set_limits(to_server_limits(routes->source().limits));
        log_event(log_level::info, "config-in-force",
                  {{"number", std::to_string(config_number)}});
    }

    void set_services(document const& doc)
    {
        services.clear();
        unfenced_wait = 0us;
        ordered_configuration = !doc.departments.empty();
        for (auto const& service : doc.services)
        {
            if (!service.keyed)
                continue;
            services.push_back({.name = service.name, .shards = service.shards});
            // Such an upstream may go on with a request for as long as any may take.
            if (!service.fenced)
                unfenced_wait = std::max(unfenced_wait, max_request_time(doc, service));
        }
        coord->set_services(services, unfenced_wait, ordered_configuration);
    }

    // ---- upstreams ----

    void on_announcement(http_request const& request, http_reply const& reply)
    {
        auto const now = boot_now();
        std::visit(overloaded{[&](upstream_report const& report)
                              {
                                  auto const answer = local.on_report(report, now);
                                  constexpr int outlived = 410;
                                  if (answer.fate == report_fate::outlived)
                                      return reply.send({.status = outlived});
                                  follow_targets(now);
                                  reply.send(platform::answer_announcement(answer.grant));
                              },
                              [&](platform::departure const& gone)
                              {
                                  local.on_departure(gone.incarnation_id, now);
                                  follow_targets(now);
                                  reply.send(platform::answer_announcement(std::nullopt));
                              },
                              [&](platform::invalid_announcement const& bad)
                              {
                                  log_event(log_level::warning, "announcement-refused",
                                            {{"error", bad.error}});
                                  reply.send(
                                      {.status = bad.status, .body = bad.error + "\n"});
                              }},
                   platform::read_announcement(request));
        carry_out();
    }

    void follow_targets(instant now)
    {
        auto const targets = local.targets(now);
        if (!targets || targets == known_targets)
            return;
        known_targets = targets;
        coord->set_targets(*targets);
        coord->tick(now);
    }

    // ---- messages ----

    void on_peer(peer_route const& route, wire::Envelope const& message)
    {
        auto const now = boot_now();
        auto const& node = message.sender().node();
        coord->note_contact(node, now);
        if (auto const silent = table.heard(node, now); silent > 0us)
            log_event(log_level::info, "dependency-regained",
                      {{"kind", "peer"}, {"peer", node}, {"lost_ms", in_ms(silent)}});
        switch (message.body_case())
        {
        case wire::Envelope::kForward:
            return served.on_forward(route, message);
        case wire::Envelope::kReply:
            return requests.on_reply(message);
        case wire::Envelope::kHello:
            return table.on_hello(route);
        case wire::Envelope::kHelloAck:
            return requests.on_clock(node, table.on_hello_ack(message, now), now);
        case wire::Envelope::kCancel:
            return served.on_cancel(route, message);
        case wire::Envelope::kGoodbye:
            return table.on_goodbye(node);
        case wire::Envelope::kPull:
            return answer_pull(route, message);
        case wire::Envelope::kHandover:
            return handover.on_handover(route, message, now);
        case wire::Envelope::kHandoverAck:
            return handover.on_ack(message, now);
        default:
            break;
        }
        if (auto const control = decode_control(message))
        {
            coord->on_message(decode(message.sender()), *control, now);
            carry_out();
            learn_from(route, *control);
        }
    }

    // A process that knows nothing yet, while the store is away, asks whoever calls it.
    void learn_from(peer_route const& route, control_message const& control)
    {
        if (coord->copy().revision() > 0 || !std::holds_alternative<renew>(control))
            return;
        wire::Envelope question;
        encode(coord->self(), *question.mutable_sender());
        encode(control_message(pull{}), question);
        peers.reply(route, question);
    }

    // Answered down the connection, as the asker may not be in the replica yet; also if
    // there is no news, so that the asker knows that it can be reached.
    void answer_pull(peer_route const& route, wire::Envelope const& message)
    {
        auto const question = decode_control(message);
        auto const news = changes_for(coord->copy(), std::get<pull>(*question));
        wire::Envelope out;
        encode(coord->self(), *out.mutable_sender());
        encode(control_message(news), out);
        peers.reply(route, out);
    }

    // ---- time ----

    void tick(instant now)
    {
        follow_targets(now);
        if (coord->copy().revision() == 0)
            ask_seeds();
        if (now >= next_peer_review)
            review_peers(now);
        if (now >= next_load_report)
        {
            next_load_report = now + load_report_period;
            counts.set("callers_left_unread_total", callers.left_unread());
            for (auto const& report : local.take_load_reports(now))
                coord->report_load(report, now);
        }
        coord->tick(now);
        carry_out();
        beliefs.follow(*coord, now);
        if (reload_asked.exchange(false) || now >= next_reload)
            reload(now);
        follow_stop(now);
    }

    // The file may change with or without a signal.
    void reload(instant now)
    {
        next_reload = now + reload_period;
        auto const fresh = source();
        if (!fresh)
            return log_event(log_level::error, "settings-refused",
                             {{"error", to_string(fresh.error().front())}});
        if (fresh.value() == settings)
            return;
        log_event(log_level::info, "settings-changed");
        auto const& next = fresh.value();
        settings.grace = next.grace;
        settings.log_level = next.log_level;
        settings.retry_ratio = next.retry_ratio;
        settings.retry_reserve = next.retry_reserve;
        settings.retry_window = next.retry_window;
        set_log_level(settings.log_level);
        requests.set_retries(make_retries(settings));
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

    // A node whose upstream goes on is only restarted: the next process takes its place
    // over. Otherwise it gives up its shards and leaves.
    bool must_leave() const
    {
        return settings.form == wire_form::native || local.upstreams_ended();
    }

    void follow_stop(instant now)
    {
        if (stops == 0 || ending)
            return;
        if (!stop)
            begin_stop(from_micros(stop_asked_us), now);
        bool const idle = requests.unfinished() == 0 && local.unfinished() == 0;
        switch (stop->phase({.left = left, .idle = idle, .times_asked = stops}, now))
        {
        case stop_phase::serving:
            return;
        case stop_phase::closing:
            return begin_closing(now);
        case stop_phase::ending:
            return end(now);
        }
    }

    // It counts from the signal, which the loop may have noticed late.
    void begin_stop(instant asked, instant now)
    {
        stop.emplace(make_stop(settings, must_leave()), asked);
        log_event(log_level::info, "stopping",
                  {{"leaves", stop->leaves() ? "yes" : "no"},
                   {"asked_before_ms", in_ms(now - asked)},
                   {"grace_ms", in_ms(settings.grace)},
                   {"requests", std::to_string(requests.unfinished())},
                   {"orders", std::to_string(local.unfinished())}});
        callers.begin_stopping();
        requests.begin_stopping(*stop);
        local.begin_stopping(*stop);
        if (!stop->leaves())
            return;
        coord->leave(now);
        carry_out();
    }

    // What is in work here is finished, what waits or still comes is refused.
    void begin_closing(instant now)
    {
        if (std::exchange(closing, true))
            return;
        log_event(log_level::info, "closing",
                  {{"after_ms", in_ms(now - stop->began())},
                   {"requests", std::to_string(requests.unfinished())},
                   {"orders", std::to_string(local.unfinished())}});
        local.begin_closing();
        say_goodbye();
    }

    void end(instant now)
    {
        ending = true;
        log_event(log_level::info, "stop-ends",
                  {{"after_ms", in_ms(now - stop->began())},
                   {"left", left ? "yes" : "no"},
                   {"requests", std::to_string(requests.unfinished())},
                   {"orders", std::to_string(local.unfinished())}});
        say_goodbye();
        local.begin_ending();
        requests.finish_all();
        local.finish_all();
        loop.timers().at(now + stop_grace, [this](instant) { loop.stop(); });
    }

    void say_goodbye()
    {
        wire::Envelope message;
        message.mutable_sender()->set_node(settings.name);
        message.mutable_goodbye();
        for (auto const& [id, m] : coord->copy().members())
            if (id.node != settings.name && m.state != member_state::gone)
                peers.send(m.endpoint, message);
    }
};

node::node(node_settings settings, settings_source source)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(source)))
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
                              flush_log();
                              s.carry_out();
                          });
    s.loop.after_round([&s] { return s.served.begin_arrived(); });
    // Ends of requests may release shards.
    s.loop.after_round([&s] { return s.carry_out(); });
    log_event(log_level::info, "started", {{"member", impl::to_text(s.coord->self())}});
    s.coord->start(now);
    s.carry_out();
    s.loop.run();
    bool const clean = s.left || !(s.stop && s.stop->leaves());
    log_event(log_level::info, "stopped", {{"clean", clean ? "yes" : "no"}});
    flush_log();
    return clean ? 0 : 1;
}

void node::request_stop()
{
    if (m_impl->stops == 0)
        m_impl->stop_asked_us = to_micros(boot_now());
    ++m_impl->stops;
}

void node::request_reload()
{
    m_impl->reload_asked = true;
}

} // namespace buckthornusher
