// The shared log as the granting duty uses it.

#ifndef POLLENRUDDER_GRANTS_GRANT_LOG_H_
#define POLLENRUDDER_GRANTS_GRANT_LOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/result.h"
#include "grants/grant_actions.h"
#include "grants/grant_log_record.h"

namespace pollenrudder {

// A log of DutyRecords that keeps the newest record of each key for good and
// orders all appends, and a turn that it gives to one live instance. All
// handlers are called once, later, on the caller's event loop.
class GrantLog {
 public:
  struct Entry {
    std::uint64_t offset = 0;
    GrantLogRecord record;
  };
  struct Batch {
    std::vector<Entry> entries;
    // The offset at which the log ends.
    std::uint64_t end = 0;
    // The records from the asked offset on are no longer kept: read the newest.
    bool truncated = false;
  };
  struct Membership {
    bool is_preferred = false;
    // An estimate of the number of live instances.
    std::uint32_t instances = 1;
  };
  using BatchHandler = std::function<void(Result<Batch>)>;

  virtual ~GrantLog() = default;

  // The newest record of each key.
  virtual void ReadNewest(BatchHandler handler) = 0;
  // The records from `from` on.
  virtual void Read(std::uint64_t from, BatchHandler handler) = 0;
  virtual void Append(const LogAppend& append,
                      std::function<void(LogAppendResult)> handler) = 0;
  // Shows that this instance is alive, and asks whose turn it is.
  virtual void Join(std::function<void(Result<Membership>)> handler) = 0;
  // Gives the turn to another instance.
  virtual void Leave() = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_LOG_H_
