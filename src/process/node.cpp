// Implementation of the daemon; see the header.
#include "process/node.hpp"

#include "buckthornusher/coordinator.hpp"
#include "buckthornusher/memory_budget.hpp"
#include "buckthornusher/planned_stop.hpp"
#include "connection/http_server.hpp"
#include "connection/peer_socket.hpp"
#include "connection/store_client.hpp"
#include "connection/wire.hpp"
#include "coordination/roles.hpp"
#include "process/agent.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/forward_server.hpp"
#include "process/ingress.hpp"
#include "process/log.hpp"
#include "process/metrics.hpp"
#include "process/operator_api.hpp"
#include "process/overloaded.hpp"
#include "process/part_options.hpp"
#include "process/peer_table.hpp"
#include "process/region_routes.hpp"
#include "process/shard_handover.hpp"
#include "process/state_log.hpp"
#include "process/upstream_announcements.hpp"

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
constexpr duration max_config_age = 5s;
constexpr duration max_config_watch = 2s;
// Several watches fit into the configuration bound, so that a hanging one is noticed and
// replaced in time.
constexpr int watches_per_config_bound = 4;
// Part of the configuration bound that is reserved for reading a document and relaying
// it.
constexpr duration config_apply_reserve = 600ms;
constexpr duration reload_period = 5s; // for settings that change without a signal
constexpr duration load_report_period = 1s;
constexpr duration last_answers_period = 300ms; // to flush the last answers before exit

// Returns an incarnation later than all known ones of the node, even if this VM's clock
// is behind.
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

double link_bytes_per_second(node_settings const& settings)
{
    constexpr double bits_per_byte = 8;
    return settings.link_bits / bits_per_byte;
}

} // namespace

struct node::impl
{
    impl(node_settings s, settings_source from)
        : settings(std::move(s)), source(std::move(from)),
          memory(make_memory_options(settings.memory_bytes)),
          peers(
              loop, "tcp://" + settings.peers,
              [this](peer_route const& route, wire::Envelope const& m)
              { on_peer(route, m); },
              memory.max_queued_messages()),
          table(peers, settings.name, std::random_device{}(), {}),
          store(loop,
                {.address = to_address(settings.store),
                 .user_agent = settings.name,
                 .on_failure = [this](store_failure const& f) { on_store_failure(f); },
                 .on_skipped =
                     [](store_skipped const& s)
                 {
                     log_event(
                         log_level::warning, "store-entry-skipped",
                         {{"name", s.name}, {"revision", std::to_string(s.revision)}});
                 },
                 .on_era_risen =
                     [](std::uint64_t era)
                 {
                     log_event(log_level::warning, "store-era-risen",
                               {{"era", std::to_string(era)}});
                 }}),
          store_state("store", settings.store), coord(make_coordinator({}, {})),
          local(loop, *coord,
                {.form = make_upstream_form(settings.form),
                 .region = settings.region,
                 .service = settings.service,
                 .report_interval = settings.report_interval,
                 .domain = settings.domain,
                 .drain_limit = settings.drain_limit,
                 .tick_period = request_period,
                 .max_incomplete_bytes = memory.max_incomplete_answers(),
                 .max_lease = make_lease_options(settings).max_lease_duration(),
                 .cold_ratio = settings.cold_ratio,
                 .cold_reserve = settings.cold_reserve,
                 .link_bytes_per_second = link_bytes_per_second(settings)}),
          announcements(local, {}, [this](instant now) { update_targets(now); }),
          forwards(loop, local, peers, table, settings.name, &memory),
          requests(loop, *coord, local, peers, table, counts,
                   {.form = make_caller_form(settings.form),
                    .self = settings.name,
                    .region = settings.region,
                    .domain = settings.domain,
                    .origin = settings.service,
                    .retries = make_retry_budget_options(settings),
                    .link_bytes_per_second = link_bytes_per_second(settings)}),
          handover(*coord, local, peers, settings.form == wire_form::native),
          operators({.settings = settings,
                     .loop = loop,
                     .local = local,
                     .store = store,
                     .counts = counts,
                     .peers = peers,
                     .requests = requests,
                     .coord = coord}),
          callers(loop, {.address = to_address(settings.callers), .memory = &memory},
                  [this](http_request request, http_reply const& reply)
                  { requests.on_request(std::move(request), reply); }),
          operator_server(loop, {.address = to_address(settings.operators)},
                          [this](http_request request, http_reply const& reply)
                          { operators.handle(std::move(request), reply); })
    {
        if (!settings.upstreams.empty())
            upstream_server.emplace(
                loop, http_server::options{.address = to_address(settings.upstreams)},
                [this](http_request request, http_reply reply)
                {
                    announcements.handle(std::move(request), std::move(reply),
                                         boot_now());
                    apply_effects();
                });
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
    memory_budget memory;
    metrics counts;
    peer_socket peers;
    peer_table table;
    store_client store;
    dependency store_state;
    state_log state_changes;
    std::vector<keyed_service> services;
    duration unfenced_wait{0};
    bool ordered_configuration = false;
    std::unique_ptr<coordinator> coord;
    std::optional<std::vector<target>> known_targets;
    std::vector<upstream_incarnation> known_departed;
    agent local;
    upstream_announcements announcements;
    std::optional<std::uint64_t> known_record_version; // of the node's record
    forward_server forwards;
    ingress requests;
    shard_handover handover;
    operator_api operators;
    http_server callers;
    http_server operator_server;
    std::optional<http_server> upstream_server;
    std::optional<http_server> readiness_server;
    std::optional<http_server> metrics_server;
    std::uint64_t config_number = 0;
    std::uint64_t refused_config_number = 0; // of the latest refused document
    std::uint64_t memory_turned_away = 0;    // callers, as logged last
    std::atomic<int> stop_requests{0};
    std::atomic<std::uint64_t> stop_requested_us{0}; // boot_now() at the first request
    std::atomic<bool> reload_requested{false};
    instant next_reload;
    std::optional<planned_stop> stop; // once requested
    bool left = false;
    bool closing = false;
    bool ending = false;
    bool applying_effects = false;
    instant next_peer_review;
    instant next_load_report;

    // The address at which other nodes reach this one.
    std::string endpoint() const
    {
        return "tcp://" + (settings.advertised_peers.empty() ? settings.peers
                                                             : settings.advertised_peers);
    }

    // Returns whether callers can be served: a configuration is known and no planned stop
    // has begun.
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
            .max_config_age = std::min<duration>(
                max_config_age, settings.config_bound - config_apply_reserve),
            .config_watch_wait = std::min<duration>(
                max_config_watch, settings.config_bound / watches_per_config_bound),
            .evacuation_bound = settings.evacuation_bound,
            .lease = make_lease_options(settings),
            .planning = {},
            .guard = {},
            .seed = std::random_device{}(),
            .known = std::move(known)});
    }

    // ---- effects ----

    // Applies the coordinator's effects until there are none. Returns whether there were
    // any.
    bool apply_effects()
    {
        if (applying_effects)
            return false; // the outer call applies them
        bool any = false;
        applying_effects = true;
        for (auto effects = coord->take_effects(); !effects.empty();
             effects = coord->take_effects())
        {
            any = true;
            for (auto& e : effects)
                std::visit([this](auto& effect) { apply(effect); }, e);
        }
        applying_effects = false;
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
                           return; // called by an earlier incarnation
                       coord->on_store_answer(id, answer, boot_now());
                       apply_effects();
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
        auto const now = boot_now();
        update_record(now);
        update_config();
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
        // The coordinator must not be replaced inside the loop over its effects.
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
        fresh->set_departed(known_departed);
        local.set_coordinator(*fresh);
        requests.set_coordinator(*fresh);
        handover.set_coordinator(*fresh);
        coord = std::move(fresh);
        coord->start(boot_now());
        if (stop && stop->releases_shards())
            coord->leave(boot_now());
        apply_effects();
    }

    void update_config()
    {
        auto const* config = coord->copy().config();
        if (config == nullptr || config->number <= config_number ||
            config->number == refused_config_number)
            return;
        auto parsed = parse_document_as(settings.form, config->document.text());
        if (!parsed)
        {
            refused_config_number = config->number;
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
        report_unknown_words(routes->source());
    }

    // Tells operators what the budget holds, and in the log when it has bound callers.
    void report_memory()
    {
        auto const turned_away = memory.refused() + memory.closed();
        counts.set("memory_budget_bytes", memory.limit());
        counts.set("memory_held_bytes", memory.held());
        counts.set("memory_queued_for_peers_bytes", peers.queued_bytes());
        counts.set("memory_refused_total", memory.refused());
        counts.set("memory_closed_total", memory.closed());
        if (turned_away != std::exchange(memory_turned_away, turned_away))
            log_event(log_level::warning, "memory-spent",
                      {{"held", std::to_string(memory.held())},
                       {"of", std::to_string(memory.limit())},
                       {"refused", std::to_string(memory.refused())},
                       {"closed", std::to_string(memory.closed())}});
    }

    void report_unknown_words(document const& doc)
    {
        counts.set("config_unknown_words", doc.unknown_words.size());
        if (!doc.unknown_words.empty())
            log_event(log_level::warning, "config-word-unknown",
                      {{"number", std::to_string(config_number)},
                       {"count", std::to_string(doc.unknown_words.size())},
                       {"first", to_string(doc.unknown_words.front())}});
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
            services.push_back({.name = service.name,
                                .shards = service.shards,
                                .regions = owner_regions_of(doc, service.name)});
            // An unfenced upstream may still run a request of an earlier owner until the
            // longest request time has passed.
            if (!service.fenced)
                unfenced_wait = std::max(unfenced_wait, max_request_time(doc, service));
        }
        coord->set_services(services, unfenced_wait, ordered_configuration);
    }

    // ---- upstreams ----

    // Passes the node's record on when it has become known or has changed.
    void update_record(instant now)
    {
        auto const version = coord->copy().version_of(member_object(settings.name));
        if (!coord->knows_node_record() || known_record_version == version)
            return;
        known_record_version = version;
        announcements.on_record(coord->node_record(), now);
    }

    void update_targets(instant now)
    {
        auto const targets = local.targets(now);
        auto const& departed = local.history().departed();
        if ((!targets || targets == known_targets) && departed == known_departed)
            return;
        if (targets)
        {
            coord->set_targets(*targets);
            known_targets = targets;
        }
        coord->set_departed(departed);
        known_departed = departed;
        coord->tick(now);
    }

    // ---- messages ----

    void on_peer(peer_route const& route, wire::Envelope const& message)
    {
        auto const now = boot_now();
        auto const& node = message.sender().node();
        coord->note_contact(node, now);
        forwards.note_route(node, route);
        if (auto const silent = table.on_message(node, now); silent > 0us)
            log_event(log_level::info, "dependency-regained",
                      {{"kind", "peer"}, {"peer", node}, {"lost_ms", in_ms(silent)}});
        switch (message.body_case())
        {
        case wire::Envelope::kForward:
            return forwards.on_forward(route, message);
        case wire::Envelope::kReply:
            return requests.on_reply(message);
        case wire::Envelope::kHello:
            return table.on_hello(route);
        case wire::Envelope::kHelloAck:
            return requests.on_clock(node, table.on_hello_ack(message, now), now);
        case wire::Envelope::kCancel:
            return forwards.on_cancel(route, message);
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
            apply_effects();
            pull_from_contact(route, *control);
        }
    }

    // A process with an empty replica, as when the store is unreachable, pulls the
    // replica from any member that sends it a lease renewal.
    void pull_from_contact(peer_route const& route, control_message const& control)
    {
        if (coord->copy().revision() > 0 || !std::holds_alternative<renew>(control))
            return;
        wire::Envelope pull_request;
        encode(coord->self(), *pull_request.mutable_sender());
        encode(control_message(pull{}), pull_request);
        peers.reply(route, pull_request);
    }

    // Replies on the same connection, as the sender may not be in the replica yet.
    // Replies without changes too, so that the sender learns that it can be reached.
    void answer_pull(peer_route const& route, wire::Envelope const& message)
    {
        auto const pull_request = decode_control(message);
        reply_to(route, coord->answer(std::get<pull>(*pull_request)));
        if (auto const evacuations = coord->known_evacuations())
            reply_to(route, *evacuations);
    }

    void reply_to(peer_route const& route, control_message const& answer)
    {
        wire::Envelope out;
        encode(coord->self(), *out.mutable_sender());
        encode(answer, out);
        peers.reply(route, out);
    }

    // ---- time ----

    void tick(instant now)
    {
        update_record(now);
        update_targets(now);
        announcements.tick(now);
        if (coord->copy().revision() == 0)
            pull_from_seeds();
        if (now >= next_peer_review)
            review_peers(now);
        if (now >= next_load_report)
        {
            next_load_report = now + load_report_period;
            counts.set("callers_left_unread_total", callers.unread_disconnects());
            counts.set("replies_lost_total", forwards.lost_replies());
            report_memory();
            for (auto const& report : local.take_load_reports(now))
                coord->report_load(report, now);
        }
        coord->tick(now);
        apply_effects();
        state_changes.log_changes(*coord, now);
        if (reload_requested.exchange(false) || now >= next_reload)
            reload(now);
        update_stop(now);
    }

    // Also runs periodically, as the file may change without a signal.
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
        requests.set_retries(make_retry_budget_options(settings));
    }

    // Closes connections to endpoints that are neither a seed's nor a present member's.
    void review_peers(instant now)
    {
        next_peer_review = now + peer_review_period;
        std::set<std::string> endpoints(settings.seeds.begin(), settings.seeds.end());
        for (auto const& entry : coord->copy().members())
            if (entry.second.state != member_state::gone)
                endpoints.insert(entry.second.endpoint);
        peers.keep_only(endpoints);
    }

    void pull_from_seeds()
    {
        wire::Envelope message;
        encode(coord->self(), *message.mutable_sender());
        message.mutable_pull()->set_from(0);
        for (auto const& seed : settings.seeds)
            peers.send(seed, message);
    }

    // With the platform's wire format, a node whose upstream keeps running is only
    // restarted: the next process takes over its shards. Any other node releases its
    // shards and leaves the fleet.
    bool must_leave() const
    {
        return settings.form == wire_form::native || local.upstreams_ended();
    }

    void update_stop(instant now)
    {
        if (stop_requests == 0 || ending)
            return;
        if (!stop)
            begin_stop(from_micros(stop_requested_us), now);
        bool const delivers = awaits_delivery(now);
        bool const idle = requests.unfinished() == 0 && local.unfinished() == 0 &&
                          forwards.held() == 0 && !delivers;
        switch (stop->phase(
            {.shards_released = left, .idle = idle, .stop_requests = stop_requests}, now))
        {
        case stop_phase::serving:
            return;
        case stop_phase::closing:
            return begin_closing(now);
        case stop_phase::ending:
            return end(now);
        }
    }

    // The stop is timed from the signal, which the loop may have handled late.
    void begin_stop(instant asked, instant now)
    {
        stop.emplace(make_planned_stop_options(settings, must_leave()), asked);
        log_event(log_level::info, "stopping",
                  {{"leaves", stop->releases_shards() ? "yes" : "no"},
                   {"asked_before_ms", in_ms(now - asked)},
                   {"grace_ms", in_ms(settings.grace)},
                   {"requests", std::to_string(requests.unfinished())},
                   {"orders", std::to_string(local.unfinished())}});
        callers.begin_stopping();
        requests.begin_stopping(*stop);
        local.begin_stopping(*stop);
        if (!stop->releases_shards())
            return;
        coord->leave(now);
        apply_effects();
    }

    // Finishes running requests; refuses waiting and new ones.
    void begin_closing(instant now)
    {
        if (std::exchange(closing, true))
            return;
        log_event(log_level::info, "closing",
                  {{"after_ms", in_ms(now - stop->began())},
                   {"requests", std::to_string(requests.unfinished())},
                   {"orders", std::to_string(local.unfinished())}});
        local.begin_closing();
        send_goodbyes();
    }

    void end(instant now)
    {
        ending = true;
        log_event(log_level::info, "stop-ends",
                  {{"after_ms", in_ms(now - stop->began())},
                   {"left", left ? "yes" : "no"},
                   {"delivering", std::to_string(callers.awaited_deliveries(now))},
                   {"requests", std::to_string(requests.unfinished())},
                   {"orders", std::to_string(local.unfinished())}});
        send_goodbyes();
        local.begin_ending();
        requests.finish_all();
        local.finish_all();
        end_once_delivered(now + last_answers_period);
    }

    // Whether callers or peers still take answers that this process holds.
    bool awaits_delivery(instant now)
    {
        bool const by_callers = callers.awaited_deliveries(now) > 0; // must note both
        return peers.awaits_delivery(now) || by_callers;
    }

    // Ends the loop at `earliest`, or later once all answers are delivered.
    void end_once_delivered(instant earliest)
    {
        loop.timers().at(earliest,
                         [this](instant now)
                         {
                             if (now >= stop->ends_by() || !awaits_delivery(now))
                                 return loop.stop();
                             end_once_delivered(
                                 std::min(now + request_period, stop->ends_by()));
                         });
    }

    void send_goodbyes()
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
                              s.forwards.count_sent(t);
                              s.forwards.drop_overdue(t);
                              s.handover.tick(t);
                              s.requests.tick(t);
                              flush_log();
                              s.apply_effects();
                          });
    s.loop.after_round([&s] { return s.forwards.begin_received(); });
    // Finished requests may complete the drain of shards.
    s.loop.after_round([&s] { return s.apply_effects(); });
    log_event(log_level::info, "started", {{"member", impl::to_text(s.coord->self())}});
    s.coord->start(now);
    s.apply_effects();
    s.loop.run();
    bool const clean = s.left || !(s.stop && s.stop->releases_shards());
    log_event(log_level::info, "stopped", {{"clean", clean ? "yes" : "no"}});
    flush_log();
    return clean ? 0 : 1;
}

void node::request_stop()
{
    if (m_impl->stop_requests == 0)
        m_impl->stop_requested_us = to_micros(boot_now());
    ++m_impl->stop_requests;
}

void node::request_reload()
{
    m_impl->reload_requested = true;
}

} // namespace buckthornusher
