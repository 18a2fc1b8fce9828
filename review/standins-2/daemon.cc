// Daemon: fork and exec in the repository root.

#include "daemon.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include "socket_io.h"

namespace review {
namespace {

// The command of the deploy file.
constexpr const char* kProgram = "target/apps/pollenrudderd/pollenrudderd";
constexpr const char* kMode = "--platform";
constexpr int kPorts = 5;

std::string At(int port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"";
}

}  // namespace

Daemon::Daemon(Options options, const std::string& folder)
    : options_(std::move(options)),
      folder_(folder),
      first_port_(FreePorts(kPorts)) {
  const int port = first_port_;
  std::ofstream(folder_ + "/" + options_.name + ".yaml")
      << "node-name: \"" << options_.name << "\"\n"
      << "role: \"entry\"\nmachine-class: \"front\"\nserves:\n  - \"front\"\n"
      << "ip: \"127.0.0.1\"\nzone: \"cayambe\"\nregion: \"sierra-norte\"\n"
      << "zones:\n  cayambe: \"sierra-norte\"\n"
      << "listen:\n  frontend: " << At(port) << "\n  ready: " << At(port + 1)
      << "\ninternal-ports:\n  - " << port + 2 << "\n  - " << port + 4
      << "\nbootstrap: true\nlimits:\n  cpu-share: 0.2\n  cpu-cores: 1\n"
      << "  memory-mb: " << options_.memory_mb
      << "\n  max-fds: " << options_.max_fds
      << "\n  link-mbps: 1000.0\n  disk-mb: 0\ndata-dir: null\n"
      << "discovery: \"platform\"\nentry: \"vip\"\nheartbeat-s: 1.5\n"
      << "bounds:\n  - \"drain-timeout-s=2\"\n  - \"grace-period-s=6\"\n"
      << "  - \"loss-slack-s=0.2\"\n  - \"config-apply-s=2\"\n"
      << "  - \"retry-budget-ratio=0.2\"\n  - \"budget-window-s=10\"\n"
      << "  - \"retry-budget-slack=64\"\n  - \"max-hold-s=10\"\n"
      << "platform:\n  address: " << At(options_.store_port)
      << "\n  form: \"log\"\n  writes-per-s: 400\n  reads-per-s: 2000\n"
      << "  parts: 12\n";
}

Daemon::~Daemon() {
  Kill();
}

void Daemon::Start() {
  const std::string settings =
      "POLLENRUDDER_BOOT=" + folder_ + "/" + options_.name + ".yaml";
  const std::string log = folder_ + "/" + options_.name + ".log";
  pid_ = fork();
  if (pid_ != 0)
    return;
  // The process ends with the case, also if that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, 1);
  dup2(output, 2);
  const rlimit limit{static_cast<rlim_t>(options_.max_fds),
                     static_cast<rlim_t>(options_.max_fds)};
  setrlimit(RLIMIT_NOFILE, &limit);
  std::vector<char> variable(settings.begin(), settings.end());
  variable.push_back('\0');
  char* const environment[] = {variable.data(), nullptr};
  execle(kProgram, kProgram, kMode, nullptr, environment);
  _exit(127);
}

void Daemon::Signal(int number) const {
  if (pid_ > 0)
    kill(pid_, number);
}

void Daemon::Kill() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool Daemon::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
    pid_ = -1;
  return pid_ > 0;
}

std::size_t Daemon::StatusBytes(const std::string& name) const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(name + ":"))
      return std::strtoull(line.c_str() + name.size() + 1, nullptr, 10) << 10;
  }
  return 0;
}

std::size_t Daemon::PeakResidentBytes() const {
  return StatusBytes("VmHWM");
}

std::size_t Daemon::ResidentBytes() const {
  return StatusBytes("VmRSS");
}

bool Daemon::IsReady() const {
  const Socket socket = Socket::ConnectTo(ready_port());
  if (!socket.valid() ||
      !socket.SendAll("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
    return false;
  std::string buffer;
  const auto response =
      ReadMessage(socket, buffer, std::chrono::milliseconds(500));
  return response && response->SecondWord() == "200";
}

}  // namespace review
