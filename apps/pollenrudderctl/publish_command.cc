// The command `publish`: appends a section to the log with a version
// precondition.

#include <unistd.h>

#include <iostream>
#include <random>
#include <thread>

#include "ownership/log_record.h"
#include "ownership/ownership_table.h"
#include "pollenrudderctl/command_line.h"
#include "pollenrudderctl/commands.h"
#include "pollenrudderctl/log_session.h"
#include "pollenrudderctl/section_file.h"

namespace pollenrudder {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{200};

int ReportFailure(const std::string& message) {
  std::cerr << "pollenrudderctl: " << message << '\n';
  return kExitFailure;
}

LogOffset CurrentVersion(const LogSession& session, const std::string& team) {
  const auto& sections = session.table().state().sections;
  const auto found = sections.find(team);
  return found == sections.end() ? kNoOffset : found->second.offset;
}

int ReportConflict(const LogSession& session,
                   const std::string& team,
                   LogOffset against) {
  const LogOffset current = CurrentVersion(session, team);
  std::string writer = session.WriterOf(current);
  if (writer.empty())
    writer = "a writer that is no longer retained";
  std::cerr << "pollenrudderctl: conflict: the section of team " << team
            << " is at version " << current << " by " << writer << ", not "
            << against << "; nothing was changed\n";
  return kExitConflict;
}

std::string RandomHex() {
  std::random_device random;
  std::string text;
  for (int word = 0; word < 2; ++word) {
    const std::uint32_t value = random();
    for (int shift = 28; shift >= 0; shift -= 4)
      text += "0123456789abcdef"[(value >> shift) & 0xf];
  }
  return text;
}

std::string WriterName() {
  const char* user = getlogin();
  return std::string("operator.") + (user ? user : "unknown");
}

// Appends the record until it is read back from the log. An append without a
// response may have succeeded, so the log is read before each retry. A second
// copy of the record has no effect, since its precondition holds only once.
Result<const LogSession::RecordOutcome*> AppendAndReadBack(
    LogSession& session,
    const LogRecord& record,
    std::chrono::milliseconds timeout) {
  const std::string data = EncodeLogRecord(record);
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    const auto appended = session.Append(data);
    const auto read = session.ReadToEnd();
    if (const LogSession::RecordOutcome* seen = session.FindRecord(record.id))
      return seen;
    if (std::chrono::steady_clock::now() >= deadline) {
      const std::string cause = !read       ? read.error().message
                                : !appended ? appended.error().message
                                            : "the record was not found";
      return MakeError(ErrorKind::kLogUnavailable,
                       "unknown whether the section was accepted (" + cause +
                           "); run publish again to find out");
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace

int RunPublish(const CommandLine& line) {
  if (line.arguments.size() != 1) {
    std::cerr << "pollenrudderctl: publish needs one file\n";
    return kExitUsage;
  }
  const std::string& path = line.arguments.front();
  const auto text = ReadSectionFile(path);
  if (!text)
    return ReportFailure(text.error().message);
  auto checked = Document::ParseSection(text.value());
  const std::string team = checked.section.team;
  if (!checked.valid()) {
    PrintDocumentErrors(path, checked.errors);
    return kExitFailure;
  }
  const auto session = LogSession::Open(line.log_address, line.timeout);
  if (!session)
    return ReportFailure(session.error().message);
  LogSession& log = *session.value();
  const auto& sections = log.table().state().sections;
  const auto current = sections.find(team);
  if (!line.against && current != sections.end() &&
      current->second.text == text.value()) {
    std::cout << "the section of team " << team
              << " is already in force as version " << current->second.offset
              << '\n';
    return kExitOk;
  }
  const LogOffset against =
      line.against ? *line.against : CurrentVersion(log, team);
  if (against != CurrentVersion(log, team))
    return ReportConflict(log, team, against);
  checked = log.table().document().CheckReplacement(team, text.value());
  if (!checked.valid()) {
    PrintDocumentErrors(path, checked.errors);
    return kExitFailure;
  }
  const LogRecord record{"section-" + RandomHex(), WriterName(),
                         SectionRecord{team, against, text.value()}};
  const auto seen = AppendAndReadBack(log, record, line.timeout);
  if (!seen)
    return ReportFailure(seen.error().message);
  if (seen.value()->applied) {
    std::cout << "accepted: the section of team " << team << " is version "
              << seen.value()->offset << '\n';
    return kExitOk;
  }
  if (CurrentVersion(log, team) != against)
    return ReportConflict(log, team, against);
  return ReportFailure("refused: " + seen.value()->reason);
}

}  // namespace pollenrudder
