// The commands of pollenrudderctl. Each writes its result to standard output
// and failures to standard error, and returns an ExitCode.

#ifndef POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMANDS_H_
#define POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMANDS_H_

namespace pollenrudder {

struct CommandLine;

// Validates section files offline; each file is checked together with the files
// before it.
int RunCheck(const CommandLine& line);

// Appends a section file to the log, as a replacement of --against or of the
// current version.
int RunPublish(const CommandLine& line);

// Prints the status page of each instance.
int RunStatus(const CommandLine& line);

// Prints the route of a key in the routing table of one instance.
int RunRoute(const CommandLine& line);

// Prints the leader, term and number of shards of each upstream; reads the log.
int RunOwners(const CommandLine& line);

// Prints the planned stops of all teams; reads the log.
int RunStops(const CommandLine& line);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_APPS_POLLENRUDDERCTL_COMMANDS_H_
