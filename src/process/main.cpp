// The command line of the one binary.
#include "process/log.hpp"
#include "process/node.hpp"
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

// Exit codes, as documented in docs/OPERATING.md.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;

node* running_node = nullptr;

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void print_errors(std::string const& path, std::vector<config_error> const& errors)
{
    for (auto const& error : errors)
        std::cerr << path << ": " << to_string(error) << "\n";
}

int run_node(std::string const& path)
{
    auto const text = read_file(path);
    if (!text)
        return std::cerr << path << ": cannot be read\n", exit_bad_input;
    auto const settings = parse_settings(*text);
    if (!settings)
        return print_errors(path, settings.error()), exit_bad_input;
    set_up_log(settings.value().name, settings.value().log_level);
    try
    {
        node n(settings.value());
        running_node = &n;
        auto const stop = [](int)
        {
            running_node->request_stop();
        };
        std::signal(SIGTERM, stop);
        std::signal(SIGINT, stop);
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
    auto const text = read_file(path);
    if (!text)
        return std::cerr << path << ": cannot be read\n", exit_bad_input;
    auto const parsed = parse_document(*text);
    if (!parsed)
        return print_errors(path, parsed.error()), exit_bad_input;
    std::cout << path << ": " << parsed.value().services.size() << " services for "
              << parsed.value().environment << "\n";
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Routes requests to servers that own their keys exclusively");
    app.require_subcommand(1);
    std::string settings;
    auto* node_command = app.add_subcommand("node", "serve beside an upstream");
    node_command->add_option("--settings", settings, "the process's settings, TOML")
        ->required();
    std::string document_path;
    auto* config_command = app.add_subcommand("config", "the environment's document");
    config_command->require_subcommand(1);
    auto* check_command = config_command->add_subcommand("check", "check a document");
    check_command->add_option("file", document_path, "the document, TOML")->required();
    auto* version_command = app.add_subcommand("version", "print the version");
    CLI11_PARSE(app, argc, argv);
    if (node_command->parsed())
        return run_node(settings);
    if (check_command->parsed())
        return check_config(document_path);
    if (version_command->parsed())
        std::cout << "buckthornusher 0.1.0\n";
    return exit_ok;
}
