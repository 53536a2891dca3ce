// A program that the soak starts, signals and ends; only by the id that it got for it.
#ifndef BUCKTHORNUSHER_SOAK_CHILD_PROCESS_HPP
#define BUCKTHORNUSHER_SOAK_CHILD_PROCESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace buckthornusher::soak
{

class child_process
{
public:
    static constexpr int signal_base = 128; // of the code of one that a signal ended

    struct options
    {
        std::vector<std::string> command; // program and arguments
        std::string log;                  // gets standard output and error, appended
    };

    // A process that can't be started is as one that has ended with code 127.
    explicit child_process(options const& opts);
    // Kills what still runs.
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    // Does nothing once the process has ended.
    void signal(int number);
    bool is_running();
    // The code of exit(), or signal_base plus the number of the signal; nothing while it
    // runs.
    std::optional<int> exit_code();

    // Of /proc; 0 for a process that has ended.
    std::uint64_t resident_kb();
    std::uint64_t descriptors();

private:
    pid_t m_pid = -1; // -1: could not be started
    std::optional<int> m_exit_code;
};

} // namespace buckthornusher::soak

#endif
