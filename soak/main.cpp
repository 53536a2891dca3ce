// The fault soak: runs the real programs under random faults and checks the promises.
//
//   fault_soak --seed 7 --seconds 20 --nodes 6 --programs build --document FILE
//
// Prints a summary and, on violations, each broken promise with its subject, the last
// faults of the plan and the folder of the logs. Exits with 0 if every promise was kept,
// 1 if one was broken, and 2 if the run could not start or the fleet did not come up.
#include "process/boot_clock.hpp"
#include "process/read_file.hpp"
#include "soak/callers.hpp"
#include "soak/fleet.hpp"
#include "version/config.hpp"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <iostream>

namespace buckthornusher::soak
{
namespace
{

// Of the two keyed services of the default document.
constexpr std::uint64_t expected_shards = 128;
constexpr duration poll_period = 250ms;
constexpr duration start_timeout = 30s;
// After the last fault; the same as recover_s of the sites.
constexpr duration recovery_timeout = 15s;
constexpr duration planned_stop_timeout = 30s;
constexpr duration trial_length = 1s;
constexpr duration trial_drain_timeout = 10s; // for answers and retries
constexpr std::size_t max_faults_shown = 6;

struct soak_options
{
    std::uint64_t seed = 1;
    std::uint32_t seconds = 20;
    std::uint32_t nodes = 6;
    int base_port = 30'000;
    std::string programs = "build";
    std::string document = "examples/svecnik.toml";
    std::string directory; // empty: a new temporary one
    std::string break_promise;
    bool plan_only = false;
};

std::vector<fault> make_plan(soak_options const& opts)
{
    return draw_faults({.seed = opts.seed,
                        .length = std::chrono::seconds(opts.seconds),
                        .nodes = opts.nodes,
                        .upstreams = opts.nodes * fleet::upstreams_per_node,
                        .links = opts.nodes * fleet::links_per_node});
}

// The retry budget of nodes whose settings set none.
retry_allowance default_allowance()
{
    node_settings const settings;
    return {.ratio = settings.retry_ratio,
            .reserve = settings.retry_reserve,
            .window = settings.retry_window};
}

class soak_run
{
public:
    soak_run(event_loop& loop, soak_options const& opts, std::string document,
             std::string directory)
        : m_loop(loop), m_options(opts), m_directory(std::move(directory)),
          m_fleet(loop, {.programs = opts.programs,
                         .directory = m_directory,
                         .document = std::move(document),
                         .base_port = opts.base_port,
                         .nodes = opts.nodes,
                         .break_promise = opts.break_promise}),
          m_load(loop, {.ports = m_fleet.caller_ports(), .seed = opts.seed})
    {
        loop.timers().every(boot_now(), poll_period, [this](instant) { m_fleet.poll(); });
    }

    int run()
    {
        if (!start_up())
            return 2;
        m_plan = make_plan(m_options);
        m_began = boot_now();
        run_faults();
        recover();
        check_promises();
        return report();
    }

private:
    static constexpr std::uint64_t trial_seed_step = 1'000'000'000;

    template <class Condition>
    bool wait_for(duration limit, Condition const& condition)
    {
        auto const until = boot_now() + limit;
        while (!condition())
        {
            if (boot_now() >= until)
                return false;
            m_loop.run_once();
        }
        return true;
    }

    bool is_healthy() const
    {
        return m_fleet.shards_owned() == expected_shards && m_fleet.has_configuration();
    }

    bool start_up()
    {
        bool const up = wait_for(start_timeout,
                                 [this]
                                 {
                                     // Sends the first document until it is accepted.
                                     if (!m_fleet.has_configuration() &&
                                         boot_now() >= m_next_configure)
                                     {
                                         m_fleet.begin({});
                                         m_next_configure = boot_now() + 1s;
                                     }
                                     return is_healthy();
                                 });
        if (!up)
            std::cout << "the fleet did not come up within 30 s; logs: " << m_directory
                      << "\n";
        return up;
    }

    void run_faults()
    {
        auto const length = duration(std::chrono::seconds(m_options.seconds));
        m_load.start(length);
        for (auto const& f : m_plan)
        {
            m_loop.timers().at(m_began + f.start,
                               [this, f](instant) { m_fleet.begin(f); });
            m_loop.timers().at(m_began + f.start + f.length,
                               [this, f](instant) { m_fleet.end(f); });
        }
        wait_for(length + recovery_timeout,
                 [&] { return boot_now() > m_began + length && m_load.finished(); });
        m_fleet.restore();
    }

    void recover()
    {
        // A planned stop has a limit of its own; a node that stops refuses requests.
        wait_for(planned_stop_timeout, [this] { return !m_fleet.is_stopping(); });
        auto const until = boot_now() + recovery_timeout;
        wait_for(recovery_timeout, [this] { return is_healthy(); });
        // Within the timeout the fleet must answer all requests of one trial load.
        auto unanswered = run_trial();
        while ((unanswered > 0 || !is_healthy()) && boot_now() < until)
            unanswered = run_trial();
        if (!is_healthy())
            m_violations.push_back({.promise = "service is back",
                                    .subject = "all nodes",
                                    .detail = std::to_string(m_fleet.shards_owned()) +
                                              " of " + std::to_string(expected_shards) +
                                              " shards are owned"});
        if (unanswered > 0)
            m_violations.push_back({.promise = "service is back",
                                    .subject = std::to_string(unanswered) + " attempts",
                                    .detail = "not answered after the recovery timeout"});
    }

    // Runs a short load without faults. Returns the number of attempts that were not
    // answered, apart from those that the caller abandoned.
    std::size_t run_trial()
    {
        m_trials.push_back(std::make_unique<callers>(
            m_loop, callers::options{.ports = m_fleet.caller_ports(),
                                     .seed = m_options.seed +
                                             trial_seed_step * (m_trials.size() + 1)}));
        auto& trial = *m_trials.back();
        trial.start(trial_length);
        wait_for(trial_length + trial_drain_timeout, [&] { return trial.finished(); });
        auto const& attempts = trial.attempts();
        return static_cast<std::size_t>(
            std::count_if(attempts.begin(), attempts.end(),
                          [](auto const& a)
                          {
                              return a.outcome != attempt_outcome::answered &&
                                     a.outcome != attempt_outcome::abandoned;
                          }));
    }

    void add(violations const& more)
    {
        m_violations.insert(m_violations.end(), more.begin(), more.end());
    }

    void check_promises()
    {
        auto const starts = m_fleet.read_journals();
        auto attempts = m_load.attempts();
        for (auto const& trial : m_trials)
            attempts.insert(attempts.end(), trial->attempts().begin(),
                            trial->attempts().end());
        m_attempt_count = attempts.size();
        add(check_single_owner(starts));
        add(check_executed_once(starts));
        add(check_refusals(attempts, starts));
        add(check_answers(attempts));
        add(check_connections(attempts, m_fleet.node_outages()));
        add(check_planned_stops(attempts));
        add(check_versions(m_fleet.versions()));
        add(check_retries(starts, default_allowance(), m_options.nodes,
                          boot_now() - m_began));
        add(m_fleet.check_processes());
        m_started_count = starts.size();
    }

    int report() const
    {
        std::cout << "seed " << m_options.seed << ", " << m_options.seconds << " s, "
                  << m_options.nodes << " nodes: " << m_plan.size() << " faults, "
                  << m_load.sent() << " requests, " << m_load.served() << " served, "
                  << m_attempt_count << " attempts, " << m_started_count << " begun, "
                  << m_violations.size() << " violations\n";
        if (m_violations.empty())
            return 0;
        for (auto const& v : m_violations)
            std::cout << "BROKEN " << v.promise << ": " << v.subject << ": " << v.detail
                      << "\n";
        std::cout << "traffic began at " << m_began.time_since_epoch() / 1ms
                  << " ms; the last faults:\n";
        auto const first = m_plan.size() - std::min(m_plan.size(), max_faults_shown);
        for (auto i = first; i < m_plan.size(); ++i)
            std::cout << "  " << describe(m_plan[i]) << "\n";
        std::cout << "logs: " << m_directory << "\n";
        return 1;
    }

    event_loop& m_loop;
    soak_options m_options;
    std::string m_directory;
    fleet m_fleet;
    callers m_load;
    std::vector<std::unique_ptr<callers>> m_trials; // loads after the faults
    std::vector<fault> m_plan;
    violations m_violations;
    std::size_t m_attempt_count = 0;
    std::size_t m_started_count = 0;
    instant m_began;
    instant m_next_configure;
};

int run_soak(soak_options const& opts)
{
    if (opts.plan_only)
    {
        for (auto const& f : make_plan(opts))
            std::cout << describe(f) << "\n";
        return 0;
    }
    auto document = read_input(opts.document);
    if (!document)
        return 2;
    auto directory = opts.directory;
    if (directory.empty())
    {
        auto name =
            (std::filesystem::temp_directory_path() / "fault-soak-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr)
        {
            std::cerr << "can't create the directory for the logs: " << name << "\n";
            return 2;
        }
        directory = name;
    }
    std::filesystem::create_directories(directory);
    event_loop loop;
    soak_run run(loop, opts, *std::move(document), directory);
    auto const code = run.run();
    if (code == 0 && opts.directory.empty())
        std::filesystem::remove_all(directory);
    return code;
}

} // namespace
} // namespace buckthornusher::soak

int main(int argc, char** argv)
{
    buckthornusher::soak::soak_options opts;
    CLI::App app("Runs the programs under random faults and checks the promises");
    app.add_option("--seed", opts.seed, "seed of the faults and the load");
    app.add_option("--seconds", opts.seconds, "length of the traffic and the faults")
        ->check(CLI::Range(1, 3'600));
    app.add_option("--nodes", opts.nodes, "number of nodes")->check(CLI::Range(3, 40));
    app.add_option("--port-base", opts.base_port, "first port; each node takes 20")
        ->check(CLI::Range(1'024, 31'000));
    app.add_option("--programs", opts.programs, "folder with the built programs");
    app.add_option("--document", opts.document, "configuration file");
    app.add_option("--directory", opts.directory,
                   "directory for settings and logs, kept after the run");
    app.add_option("--break-promise", opts.break_promise,
                   "flag of the stand-in upstream that breaks a promise");
    app.add_flag("--plan", opts.plan_only, "prints the fault plan and exits");
    CLI11_PARSE(app, argc, argv);
    return buckthornusher::soak::run_soak(opts);
}
