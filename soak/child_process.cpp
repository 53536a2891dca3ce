// Implementation of child_process; see the header.
#include "soak/child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace buckthornusher::soak
{
namespace
{

constexpr int not_started_code = 127;
constexpr mode_t log_mode = 0644;

// Runs in the child between fork and exec, so it only makes async-signal-safe calls.
[[noreturn]] void exec_program(std::vector<char*> const& arguments, int log)
{
    // The child is killed when the soak ends, also when the soak itself is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(not_started_code);
}

} // namespace

child_process::child_process(options const& opts)
{
    std::vector<char*> arguments;
    for (auto const& argument : opts.command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    int const log =
        open(opts.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode);
    m_pid = log < 0 ? -1 : fork();
    if (m_pid == 0)
        exec_program(arguments, log);
    if (m_pid < 0)
        m_exit_code = not_started_code;
    if (log >= 0)
        close(log);
}

child_process::~child_process()
{
    if (!is_running())
        return;
    signal(SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
}

void child_process::signal(int number)
{
    // The process id can't be reused before the process is reaped, which only exit_code()
    // and the destructor do.
    if (is_running())
        ::kill(m_pid, number);
}

bool child_process::is_running()
{
    return !exit_code();
}

std::optional<int> child_process::exit_code()
{
    int status = 0;
    if (!m_exit_code && waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_exit_code =
            WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
    return m_exit_code;
}

std::uint64_t child_process::status_kb(std::string_view name)
{
    if (!is_running())
        return 0;
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string word; status >> word;)
        if (word == name)
        {
            std::uint64_t kb = 0;
            status >> kb;
            return kb;
        }
    return 0;
}

std::uint64_t child_process::descriptors()
{
    if (!is_running())
        return 0;
    std::uint64_t count = 0;
    std::error_code error;
    for (auto const& entry : std::filesystem::directory_iterator(
             "/proc/" + std::to_string(m_pid) + "/fd", error))
        count += entry.exists(error) || !error ? 1 : 0;
    return count;
}

} // namespace buckthornusher::soak
