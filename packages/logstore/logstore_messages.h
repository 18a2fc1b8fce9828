// Formats and parses the JSON messages of the log service and of the instance
// list.

#ifndef POLLENRUDDER_LOGSTORE_LOGSTORE_MESSAGES_H_
#define POLLENRUDDER_LOGSTORE_LOGSTORE_MESSAGES_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/log_offset.h"
#include "base/result.h"
#include "ownership/controller_input.h"
#include "ownership/listed_instance.h"

namespace pollenrudder {

// Returns the request target for a read of at most `limit` records from `from`
// on. If there are none, the log service waits for one for at most `wait`.
std::string RecordsTarget(LogOffset from,
                          std::size_t limit,
                          std::chrono::milliseconds wait);

// Parses the response to a read; the offsets must be consecutive. In the
// result, `next` is the offset after the last record, and `reached_end` is
// false if the response reached `limit` or the log contains more records. The
// caller sets the proof time.
Result<LogRecordsRead> ParseRecords(std::string_view text,
                                    LogOffset from,
                                    std::size_t limit);

// Returns the body of a request that appends `data`.
std::string AppendBody(std::string_view data);

// Returns the offset of the appended record.
Result<LogOffset> ParseAppendResponse(std::string_view text);

// The instance list, and how many of its entries are malformed.
struct InstanceListRead {
  std::vector<ListedInstance> instances;
  std::size_t malformed_entries = 0;
};

// Parses the instance list. A malformed entry, for example one without a usable
// address, does not affect the others: the instance stays as it was in `last`,
// or is left out if its name was not listed there.
Result<InstanceListRead> ParseInstances(
    std::string_view text,
    const std::vector<ListedInstance>& last);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_LOGSTORE_MESSAGES_H_
