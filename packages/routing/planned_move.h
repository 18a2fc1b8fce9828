// A move of a shard that a Planner advises.

#ifndef POLLENRUDDER_ROUTING_PLANNED_MOVE_H_
#define POLLENRUDDER_ROUTING_PLANNED_MOVE_H_

#include <cstdint>
#include <string>

namespace pollenrudder {

struct PlannedMove {
  std::uint32_t shard = 0;
  std::string from;
  std::string to;

  bool operator==(const PlannedMove&) const = default;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_PLANNED_MOVE_H_
