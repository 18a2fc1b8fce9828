// The reader tree: a complete tree over the instances sorted by name.

#include "logstore/reader_tree.h"

#include <algorithm>

namespace pollenrudder {

std::string FindReaderParent(const std::vector<ListedInstance>& instances,
                             std::string_view instance,
                             std::string_view zone) {
  std::vector<const ListedInstance*> members;
  for (const ListedInstance& listed : instances) {
    if (listed.kind == ListedInstance::Kind::kEntry && listed.zone == zone &&
        !listed.leaving)
      members.push_back(&listed);
  }
  std::sort(members.begin(), members.end(),
            [](const auto* a, const auto* b) { return a->name < b->name; });
  const auto self = std::find_if(
      members.begin(), members.end(),
      [&](const auto* listed) { return listed->name == instance; });
  if (self == members.end() || self == members.begin())
    return {};
  const auto position = static_cast<std::size_t>(self - members.begin());
  return members[(position - 1) / kReaderTreeDegree]->peer_address;
}

}  // namespace pollenrudder
