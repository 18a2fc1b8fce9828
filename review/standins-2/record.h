// The record of a case: what was sent, answered and run.

#ifndef POLLENRUDDER_REVIEW_STANDINS_2_RECORD_H_
#define POLLENRUDDER_REVIEW_STANDINS_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

// Appends lines with the time since the start to a file. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& line);

 private:
  const std::chrono::steady_clock::time_point started_;
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review

#endif  // POLLENRUDDER_REVIEW_STANDINS_2_RECORD_H_
