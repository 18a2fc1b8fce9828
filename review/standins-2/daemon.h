// A pollenrudderd process on the platform.

#ifndef POLLENRUDDER_REVIEW_STANDINS_2_DAEMON_H_
#define POLLENRUDDER_REVIEW_STANDINS_2_DAEMON_H_

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace review {

// Starts the program with the command of the deploy file and a settings file.
// The process ends with the object.
class Daemon {
 public:
  // The settings of one machine.
  struct Options {
    std::string name;
    int store_port = 0;
    int memory_mb = 260;
    int max_fds = 4100;
  };

  // Files are written to `folder`.
  Daemon(Options options, const std::string& folder);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  void Signal(int number) const;
  // Ends the process with SIGKILL.
  void Kill();
  bool IsRunning();
  // Of the present process.
  std::size_t PeakResidentBytes() const;
  std::size_t ResidentBytes() const;
  const Options& options() const { return options_; }
  int caller_port() const { return first_port_; }
  int ready_port() const { return first_port_ + 1; }
  // Whether the ready address answers 200.
  bool IsReady() const;

 private:
  std::size_t StatusBytes(const std::string& name) const;

  const Options options_;
  const std::string folder_;
  const int first_port_;
  pid_t pid_ = -1;
};

}  // namespace review

#endif  // POLLENRUDDER_REVIEW_STANDINS_2_DAEMON_H_
