// Record over a file stream.

#include "record.h"

#include <cstdio>

namespace review {

Record::Record(const std::string& path)
    : started_(std::chrono::steady_clock::now()), file_(path) {}

void Record::Write(const std::string& line) {
  const std::chrono::duration<double> time =
      std::chrono::steady_clock::now() - started_;
  char text[32];
  std::snprintf(text, sizeof(text), "%8.3f s  ", time.count());
  const std::lock_guard lock(mutex_);
  file_ << text << line << std::endl;
}

}  // namespace review
