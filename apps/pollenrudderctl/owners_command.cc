// The command `owners`: prints terms and shard counts from the replayed log.

#include <boost/json.hpp>

#include <iomanip>
#include <iostream>

#include "ownership/log_record.h"
#include "ownership/ownership_table.h"
#include "pollenrudderctl/command_line.h"
#include "pollenrudderctl/commands.h"
#include "pollenrudderctl/log_session.h"

namespace pollenrudder {
namespace {

namespace json = boost::json;

json::object DescribeTerm(const OwnershipTable& table, const TermState& term) {
  json::array voters;
  for (const Voter& voter : term.voters)
    voters.emplace_back(voter.instance);
  return {{"upstream", term.upstream},
          {"service", term.service},
          {"zone", term.zone},
          {"leader", term.leader},
          {"leader_zone", term.leader_zone},
          {"term", term.term},
          {"leader_since", term.leader_fence},
          {"kind", TermKindName(term.kind)},
          {"active", term.active},
          {"voters", std::move(voters)},
          {"shards", table.ShardsOf(term.upstream).size()}};
}

void PrintTable(const json::array& terms) {
  std::cout << std::left << std::setw(20) << "UPSTREAM" << std::setw(16)
            << "SERVICE" << std::setw(14) << "ZONE" << std::setw(36) << "LEADER"
            << std::setw(8) << "TERM" << std::setw(8) << "SINCE" << std::setw(8)
            << "SHARDS"
            << "STATE\n";
  for (const json::value& entry : terms) {
    const json::object& term = entry.as_object();
    const auto text = [&](const char* field) {
      const json::value& value = term.at(field);
      return value.is_string() ? std::string(value.as_string())
                               : json::serialize(value);
    };
    std::cout << std::left << std::setw(20) << text("upstream") << std::setw(16)
              << text("service") << std::setw(14) << text("zone")
              << std::setw(36) << text("leader") << std::setw(8) << text("term")
              << std::setw(8) << text("leader_since") << std::setw(8)
              << text("shards")
              << (term.at("active").as_bool() ? "active" : "waiting") << '\n';
  }
}

}  // namespace

int RunOwners(const CommandLine& line) {
  const auto session = LogSession::Open(line.log_address, line.timeout);
  if (!session) {
    std::cerr << "pollenrudderctl: " << session.error().message << '\n';
    return kExitFailure;
  }
  const OwnershipTable& table = session.value()->table();
  json::array terms;
  for (const auto& [upstream, term] : table.state().terms) {
    if (line.service.empty() || term.service == line.service)
      terms.emplace_back(DescribeTerm(table, term));
  }
  if (line.json)
    std::cout << json::serialize(terms) << '\n';
  else
    PrintTable(terms);
  return kExitOk;
}

}  // namespace pollenrudder
