// The shared log and the group membership that the grant leadership uses.

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

// A log that orders all appends and retains the newest record of each key
// indefinitely, and a membership group that prefers one live instance as
// leader. Each handler is called once, asynchronously, on the event loop of the
// caller.
//
// The log may be replaced by an earlier copy of itself, which begins a new
// epoch. Offsets are positions (see base/log_position.h). Records of earlier
// epochs are not returned: they may be older than records that were lost.
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
    // The records from the requested offset on are no longer retained, or that
    // offset is of another epoch; the caller uses ReadNewest() instead.
    bool truncated = false;
  };
  struct Membership {
    bool is_preferred = false;
    // An estimate of the number of live instances.
    std::uint32_t instances = 1;
  };
  using BatchHandler = std::function<void(Result<Batch>)>;

  virtual ~GrantLog() = default;

  // Reads the newest record of each key.
  virtual void ReadNewest(BatchHandler handler) = 0;
  // Reads the records from offset `from` on.
  virtual void Read(std::uint64_t from, BatchHandler handler) = 0;
  // Ends with kConflict if the offset of `append` is of an earlier epoch.
  virtual void Append(const LogAppend& append,
                      std::function<void(LogAppendResult)> handler) = 0;
  // Joins the group or renews the membership, and returns whether this instance
  // is the preferred leader.
  virtual void Join(std::function<void(Result<Membership>)> handler) = 0;
  // Leaves the group, so that it prefers another instance.
  virtual void Leave() = 0;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_GRANTS_GRANT_LOG_H_
