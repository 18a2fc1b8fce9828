// TargetChooser: chooses the upstreams that shards are placed on or moved to.

#ifndef POLLENRUDDER_OWNERSHIP_TARGET_CHOOSER_H_
#define POLLENRUDDER_OWNERSHIP_TARGET_CHOOSER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ownership/control_context.h"
#include "routing/spread_placement.h"

namespace pollenrudder {

// Applies the placement policy of the routing package to the replayed state. An
// upstream accepts shards if it has a term, is listed, and is neither stopping
// nor known to be lost.
class TargetChooser {
 public:
  // Returns the load of a shard of a service, in any unit.
  using LoadOf =
      std::function<double(const std::string& service, std::uint32_t shard)>;

  TargetChooser(const ControlContext& context, LoadOf load_of);

  // Records whether this instance observes an upstream that it leads as lost.
  void SetLost(const std::string& upstream, bool lost);
  bool IsLost(const std::string& upstream) const;
  bool Accepts(const std::string& upstream) const;

  // Returns a new owner for each shard of the service that has none or that
  // `source` owns. Shards without a possible owner are omitted.
  std::map<std::uint32_t, std::string> Choose(const std::string& service,
                                              const std::string& source) const;

 private:
  const ControlContext& context_;
  const LoadOf load_of_;
  const SpreadPlacement policy_;
  std::set<std::string> lost_;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_TARGET_CHOOSER_H_
