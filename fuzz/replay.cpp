// Runs the fuzz targets without a fuzzing engine: on their seeds, on kept findings and on
// random changes of both, the same ones for each seed number.
//
//   fuzz_replay --mutations 2000 --seed 1 --findings fuzz/findings
//   fuzz_replay --target record --file FILE      one input, such as a new finding
//   fuzz_replay --target record --write DIR      the seeds as files for an engine
//
// Findings are files DIR/TARGET/NAME. A finding is reported by the target's crash; the
// input that was running is then in `fuzz-input` in the current directory.
#include "fuzz/targets.hpp"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace
{

namespace files = std::filesystem;
using buckthornusher::fuzz::target;

constexpr std::size_t max_input_bytes = 65'536;
constexpr std::size_t max_changes = 8; // of one input

std::string read(files::path const& path)
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

void write(files::path const& path, std::string const& bytes)
{
    std::ofstream(path, std::ios::binary) << bytes;
}

std::vector<std::string> inputs_of(target const& t, std::string const& findings)
{
    auto inputs = t.seeds;
    std::vector<files::path> paths;
    auto const directory = files::path(findings) / t.name;
    if (files::is_directory(directory))
        for (auto const& entry : files::directory_iterator(directory))
            paths.push_back(entry.path());
    std::sort(paths.begin(), paths.end()); // the same order on each machine
    for (auto const& path : paths)
        inputs.push_back(read(path));
    return inputs;
}

class mutator
{
public:
    explicit mutator(std::uint64_t seed) : m_random(seed) {}

    // Changes some bytes of one input, and may insert a piece of another.
    std::string operator()(std::vector<std::string> const& inputs)
    {
        auto bytes = inputs[below(inputs.size())];
        auto const changes = 1 + below(max_changes);
        for (std::size_t i = 0; i < changes && !bytes.empty(); ++i)
            change(bytes, inputs[below(inputs.size())]);
        bytes.resize(std::min(bytes.size(), max_input_bytes));
        return bytes;
    }

private:
    std::size_t below(std::size_t bound) { return m_random() % bound; }

    void change(std::string& bytes, std::string const& other)
    {
        auto const at = below(bytes.size());
        auto const length = 1 + below(16);
        switch (below(6))
        {
        case 0:
            bytes[at] = static_cast<char>(m_random());
            break;
        case 1:
            bytes.erase(at, length);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, length)); // repeats a piece
            break;
        case 3:
            bytes.insert(at, length, "0919[{\"\\\xff\x80-e"[below(12)]);
            break;
        case 4:
            bytes.resize(at); // a broken-off input
            break;
        default:
            if (!other.empty())
                bytes.insert(at, other.substr(below(other.size()), 4 * length));
        }
    }

    std::mt19937_64 m_random;
};

void run(target const& t, std::string const& bytes)
{
    write("fuzz-input", bytes);
    t.run(bytes);
}

void replay(target const& t, std::string const& findings, std::size_t mutations,
            std::uint64_t seed)
{
    auto const inputs = inputs_of(t, findings);
    for (auto const& input : inputs)
        run(t, input);
    mutator mutate(seed);
    for (std::size_t i = 0; i < mutations; ++i)
        run(t, mutate(inputs));
    std::cout << t.name << ": " << inputs.size() << " inputs, " << mutations
              << " changed ones, no finding\n";
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Runs the fuzz targets on fixed inputs");
    std::string name;
    std::string findings = "fuzz/findings";
    std::string file;
    std::string directory;
    std::size_t mutations = 1'000;
    std::uint64_t seed = 1;
    app.add_option("--target", name, "one target; default: all");
    app.add_option("--findings", findings, "directory of kept findings");
    app.add_option("--mutations", mutations, "changed inputs for each target")
        ->check(CLI::Range(0, 10'000'000));
    app.add_option("--seed", seed, "of the changes");
    app.add_option("--file", file, "runs this input only")->check(CLI::ExistingFile);
    app.add_option("--write", directory, "writes the seeds as files and runs nothing");
    CLI11_PARSE(app, argc, argv);

    using buckthornusher::fuzz::find_target;
    if (!name.empty() && find_target(name) == nullptr)
        return std::cerr << "no target " << name << "\n", 2;
    for (auto const& t : buckthornusher::fuzz::targets())
    {
        if (!name.empty() && t.name != name)
            continue;
        if (!directory.empty())
        {
            files::create_directories(directory);
            for (std::size_t i = 0; i < t.seeds.size(); ++i)
                write(files::path(directory) / (t.name + "-" + std::to_string(i)),
                      t.seeds[i]);
        }
        else if (!file.empty())
            run(t, read(file));
        else
            replay(t, findings, mutations, seed);
    }
    files::remove("fuzz-input");
    return 0;
}
