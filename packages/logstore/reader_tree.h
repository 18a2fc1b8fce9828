// The tree over which the entry instances of a zone relay the log.

#ifndef POLLENRUDDER_LOGSTORE_READER_TREE_H_
#define POLLENRUDDER_LOGSTORE_READER_TREE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "ownership/listed_instance.h"

namespace pollenrudder {

// Children of one instance in the tree.
inline constexpr std::size_t kReaderTreeDegree = 8;

// Returns the peer address of the parent of `instance` in the tree over the
// live entry instances of `zone`, sorted by name; empty for the root and for an
// instance that is not listed. A parent always has the smaller name, so
// instances that see different lists still form no cycle.
std::string FindReaderParent(const std::vector<ListedInstance>& instances,
                             std::string_view instance,
                             std::string_view zone);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_READER_TREE_H_
