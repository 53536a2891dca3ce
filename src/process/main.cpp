// The command line of the buckthornusher binary.
#include "process/explain.hpp"
#include "process/log.hpp"
#include "process/node.hpp"
#include "process/operator_client.hpp"
#include "process/read_file.hpp"
#include "version/config.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace
{

using namespace buckthornusher;

node* running_node = nullptr;

void print_errors(std::string const& path, std::vector<config_error> const& errors)
{
    for (auto const& error : errors)
        std::cerr << path << ": " << to_string(error) << "\n";
}

int run_node(std::string const& path, std::vector<std::string> const& overrides)
{
    // SIGHUP is ignored until the node runs: it reads its settings at the start anyway.
    // SIGPIPE is ignored so that a closed log pipe does not end the process.
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    auto const text = read_input(path);
    if (!text)
        return exit_bad_input;
    auto const settings = parse_settings(*text, overrides);
    if (!settings)
        return print_errors(path, settings.error()), exit_bad_input;
    set_up_log({.node = settings.value().name, .level = settings.value().log_level});
    try
    {
        auto const source = [path, overrides]() -> checked<node_settings>
        {
            if (auto const again = read_file(path))
                return parse_settings(*again, overrides);
            return std::vector{config_error{.found = "a file that cannot be read",
                                            .allowed = "the settings"}};
        };
        node n(settings.value(), source);
        running_node = &n;
        auto const stop = [](int)
        {
            running_node->request_stop();
        };
        std::signal(SIGTERM, stop);
        std::signal(SIGINT, stop);
        std::signal(SIGHUP, [](int) { running_node->request_reload(); });
        return n.run();
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << "\n";
        return exit_failed;
    }
}

int check_config(std::string const& path)
{
    auto const text = read_input(path);
    if (!text)
        return exit_bad_input;
    auto const parsed = parse_document(*text);
    if (!parsed)
        return print_errors(path, parsed.error()), exit_bad_input;
    std::cout << path << ": " << parsed.value().services.size() << " services for "
              << parsed.value().environment << "\n";
    return exit_ok;
}

// The subcommands and their arguments.
struct command_line
{
    std::string settings;
    std::vector<std::string> overrides;
    std::string document_path;
    std::string node;
    std::string production;
    std::uint64_t expected = 0;
    bool json = false;
    CLI::App app{"Routes requests to servers that own their keys exclusively"};
    CLI::App* run = app.add_subcommand("node", "run a node next to an upstream");
    CLI::App* config = app.add_subcommand("config", "the environment's document");
    CLI::App* check = config->add_subcommand("check", "check a document");
    CLI::App* show = config->add_subcommand("show", "print the document in force");
    CLI::App* diff = config->add_subcommand("diff", "compare with the document in force");
    CLI::App* apply = config->add_subcommand("apply", "replace the document in force");
    CLI::App* promote = config->add_subcommand(
        "promote", "copy the trial environment's document to production, unchanged");
    std::string failure_domain;
    CLI::App* domain = app.add_subcommand("domain", "failure domains");
    CLI::App* evacuate =
        domain->add_subcommand("evacuate", "send nothing more to a domain's upstreams");
    CLI::App* restore = domain->add_subcommand("restore", "take a domain back");
    CLI::App* list = domain->add_subcommand("list", "print the evacuated domains");
    CLI::App* status = app.add_subcommand("status", "the fleet as a node sees it");
    std::vector<std::string> nodes;
    bool html = false;
    CLI::App* report = app.add_subcommand("report", "reports over the fleet");
    CLI::App* burn =
        report->add_subcommand("burn", "service-level burn, all nodes together");
    std::string request;
    std::vector<std::string> logs;
    CLI::App* explain = app.add_subcommand(
        "explain", "show a request's path through the nodes, from their logs");
    CLI::App* version = app.add_subcommand("version", "print the version");

    command_line()
    {
        app.require_subcommand(1);
        config->require_subcommand(1);
        run->add_option("--settings", settings, "the process's settings, TOML")
            ->required();
        run->add_option("--set", overrides,
                        "section.key=number: replaces a figure of the settings; "
                        "without a number it changes nothing");
        for (auto* command : {check, diff, apply})
            command->add_option("file", document_path, "the document, TOML")->required();
        domain->require_subcommand(1);
        for (auto* command : {evacuate, restore})
            command->add_option("name", failure_domain, "the failure domain")->required();
        for (auto* command : {show, diff, apply, status, evacuate, restore, list})
            command->add_option("--node", node, "a node's operator listener, IP:port")
                ->required();
        promote->add_option("--trial", node, "a node of the trial environment")
            ->required();
        promote->add_option("--production", production, "a node of production")
            ->required();
        for (auto* command : {apply, promote})
            command
                ->add_option("--expected", expected,
                             "the number of the document to be replaced")
                ->required();
        report->require_subcommand(1);
        burn->add_option("--nodes", nodes, "operator listeners, IP:port,IP:port")
            ->delimiter(',')
            ->required();
        burn->add_flag("--html", html, "print an HTML page instead of a table");
        explain->add_option("--request", request, "the request's id")->required();
        explain->add_option("logs", logs, "the nodes' logs")->required();
        status->add_flag("--json", json, "print JSON");
    }
};

int run_report(command_line const& line)
{
    std::vector<node_address> nodes;
    for (auto const& text : line.nodes)
    {
        auto const node = parse_address(text);
        if (!node)
            return std::cerr << text << ": not IP:port\n", exit_bad_input;
        nodes.push_back(*node);
    }
    return report_burn(nodes, line.html);
}

int explain_request(std::string const& request, std::vector<std::string> const& logs)
{
    std::vector<log_record> records;
    for (auto const& path : logs)
    {
        std::ifstream file(path);
        if (!file)
            return std::cerr << path << ": cannot be read\n", exit_bad_input;
        read_records(file, request, records);
    }
    sort_records(records);
    std::cout << format_records(records) << "cause: " << cause_of(records) << "\n";
    return records.empty() ? exit_failed : exit_ok;
}

int run_command(command_line const& line)
{
    if (line.run->parsed())
        return run_node(line.settings, line.overrides);
    if (line.check->parsed())
        return check_config(line.document_path);
    if (line.explain->parsed())
        return explain_request(line.request, line.logs);
    if (line.version->parsed())
        return std::cout << "buckthornusher 0.1.0\n", exit_ok;
    if (line.burn->parsed())
        return run_report(line);
    auto const node = parse_address(line.node);
    if (!node)
        return std::cerr << line.node << ": not IP:port\n", exit_bad_input;
    if (line.show->parsed())
        return config_show(*node);
    if (line.diff->parsed())
        return config_diff(*node, line.document_path);
    if (line.apply->parsed())
        return config_apply(*node, line.document_path, line.expected);
    if (line.evacuate->parsed())
        return domain_evacuate(*node, line.failure_domain);
    if (line.restore->parsed())
        return domain_restore(*node, line.failure_domain);
    if (line.list->parsed())
        return domain_list(*node);
    if (line.status->parsed())
        return show_status(*node, line.json);
    auto const production = parse_address(line.production);
    if (!production)
        return std::cerr << line.production << ": not IP:port\n", exit_bad_input;
    return config_promote(*node, *production, line.expected);
}

} // namespace

int main(int argc, char** argv)
{
    command_line line;
    CLI11_PARSE(line.app, argc, argv);
    return run_command(line);
}
