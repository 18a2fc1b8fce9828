// The status of a Controller as JSON, for operators.

#ifndef POLLENRUDDER_OWNERSHIP_STATUS_REPORT_H_
#define POLLENRUDDER_OWNERSHIP_STATUS_REPORT_H_

#include <string>

#include "ownership/checkpoint_writer.h"
#include "ownership/control_context.h"
#include "ownership/lease_manager.h"
#include "ownership/move_manager.h"
#include "ownership/target_chooser.h"

namespace pollenrudder {

// Returns a JSON object with the instance, the state of the log, the version of
// each section, the term, lease, shards and moves of each upstream, and the
// number of shards without an owner of each service.
std::string ReportStatus(const ControlContext& context,
                         const LeaseManager& leases,
                         const MoveManager& moves,
                         const TargetChooser& targets,
                         const CheckpointWriter& checkpoints,
                         const Now& now);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_STATUS_REPORT_H_
