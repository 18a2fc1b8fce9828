// The JSON messages of the log service and of the instance list.

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

// The target of a read of at most `limit` records from `from` on, which waits
// for new records for `wait`.
std::string RecordsTarget(LogOffset from,
                          std::size_t limit,
                          std::chrono::milliseconds wait);

// Parses the answer to a read. `next` is the offset after the last record, and
// `reached_end` is false if the answer was cut off by `limit` or the log says
// that it has more. The proof time is left to the caller. Offsets must be
// consecutive.
Result<LogRecordsRead> ParseRecords(std::string_view text,
                                    LogOffset from,
                                    std::size_t limit);

std::string AppendBody(std::string_view data);
Result<LogOffset> ParseAppendResponse(std::string_view text);

Result<std::vector<ListedInstance>> ParseInstances(std::string_view text);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_LOGSTORE_MESSAGES_H_
