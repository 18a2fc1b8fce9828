// The tree through which the entry instances of an availability zone relay the
// log, so that few of them read it from the log service.

#ifndef POLLENRUDDER_LOGSTORE_READER_TREE_H_
#define POLLENRUDDER_LOGSTORE_READER_TREE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "ownership/listed_instance.h"

namespace pollenrudder {

// Maximum number of children of an instance.
inline constexpr std::size_t kReaderTreeDegree = 8;

// Returns the peer address of the parent of `instance` in the tree of the entry
// instances of `zone` that are not leaving, in the order of their names.
// Returns an empty string for the root and for an instance that is not listed.
// The name of a parent is always smaller, so that instances with different
// lists form no cycle.
std::string FindReaderParent(const std::vector<ListedInstance>& instances,
                             std::string_view instance,
                             std::string_view zone);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_LOGSTORE_READER_TREE_H_
