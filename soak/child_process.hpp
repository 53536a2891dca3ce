// A child process of the soak: started, signalled and killed by its process id.
#ifndef BUCKTHORNUSHER_SOAK_CHILD_PROCESS_HPP
#define BUCKTHORNUSHER_SOAK_CHILD_PROCESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace buckthornusher::soak
{

class child_process
{
public:
    // A process ended by signal n has the exit code signal_base + n.
    static constexpr int signal_base = 128;

    struct options
    {
        std::vector<std::string> command; // program and arguments
        std::string log; // file to which standard output and error are appended
    };

    // Starts the process. If that fails the object behaves as a process that has ended
    // with exit code 127.
    explicit child_process(options const& opts);
    // Kills the process if it still runs, and reaps it.
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    // Sends the signal; does nothing once the process has ended.
    void signal(int number);
    bool is_running();
    // Returns the exit status, or signal_base plus the signal's number; std::nullopt
    // while the process runs.
    std::optional<int> exit_code();

    // Resident memory, its peak, and open file descriptors by /proc; 0 for a process that
    // has ended.
    std::uint64_t resident_kb() { return status_kb("VmRSS:"); }
    std::uint64_t peak_resident_kb() { return status_kb("VmHWM:"); }
    std::uint64_t descriptors();

private:
    std::uint64_t status_kb(std::string_view name); // a line of /proc/PID/status

    pid_t m_pid = -1; // -1: the process could not be started
    std::optional<int> m_exit_code;
};

} // namespace buckthornusher::soak

#endif
