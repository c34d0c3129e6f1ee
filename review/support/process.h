// The daemons as processes.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>

namespace review {

/// One daemon, started with the command of the deploy file.
class process {
public:
    process(std::string program, std::string settings_file, std::string log_file)
        : program_{std::move(program)}, settings_{std::move(settings_file)}, log_{std::move(
                                                                                 log_file)}
    {
    }
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process() { kill_now(); }

    void start()
    {
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            execl(program_.c_str(), program_.c_str(), "fleet", "--settings", settings_.c_str(),
                  static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    void send_signal(int number) const
    {
        if (pid_ > 0) {
            kill(pid_, number);
        }
    }
    void kill_now()
    {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    bool is_running()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }
    pid_t pid() const { return pid_; }

private:
    std::string program_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

/// Returns true if the process has an open socket whose local port is `port`.
inline bool owns_port(pid_t pid, int port)
{
    std::set<std::string> inodes;
    std::ifstream table{"/proc/net/tcp"};
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        unsigned number = 0, ip = 0, local = 0, other_ip = 0, other = 0, state = 0;
        unsigned long inode = 0;
        if (std::sscanf(line.c_str(),
                        " %u: %8X:%4X %8X:%4X %2X %*8X:%*8X %*2X:%*8X %*8X %*u %*d %lu", &number,
                        &ip, &local, &other_ip, &other, &state, &inode) == 7 &&
            static_cast<int>(local) == port) {
            inodes.insert("socket:[" + std::to_string(inode) + "]");
        }
    }
    std::error_code ec;
    const auto folder = "/proc/" + std::to_string(pid) + "/fd";
    for (const auto& each : std::filesystem::directory_iterator{folder, ec}) {
        const auto target = std::filesystem::read_symlink(each.path(), ec);
        if (inodes.contains(target.string())) {
            return true;
        }
    }
    return false;
}

} // namespace review
