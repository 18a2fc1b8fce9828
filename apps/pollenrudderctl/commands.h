// The commands of pollenrudderctl. Each prints to standard output, reports
// failures on standard error and returns an exit code.

#ifndef POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMANDS_H_
#define POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMANDS_H_

namespace pollenrudder {

struct CommandLine;

// Checks section files offline, each beside those named before it.
int RunCheck(const CommandLine& line);

// Publishes a section file against the version in force.
int RunPublish(const CommandLine& line);

// Prints what is in force at each instance and since when.
int RunStatus(const CommandLine& line);

// Prints where a key goes, from one instance's routing table.
int RunRoute(const CommandLine& line);

// Prints the leader, term and shards of each upstream, from the log.
int RunOwners(const CommandLine& line);

// Prints the planned stops of all teams, from the log.
int RunStops(const CommandLine& line);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMANDS_H_
