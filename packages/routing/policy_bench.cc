// Simulations and measurements of the routing policies; prints the tables of
// docs/decisions as Markdown.
// usage: policy_bench [placement|balance|choice|retry|records|quarantine|
//                      admission|cost]...
// All random numbers are seeded. Only the section `cost` and the times of
// `records` depend on the machine.

#include <cstdio>
#include <string_view>
#include <utility>
#include <vector>

#include "routing/bench_report.h"

int main(int argc, char** argv) {
  using namespace pollenrudder;
  const std::vector<std::pair<std::string_view, void (*)()>> sections = {
      {"placement", RunPlacementBench}, {"balance", RunBalanceBench},
      {"choice", RunChoiceBench},       {"retry", RunRetryBench},
      {"records", RunRecordsBench},     {"quarantine", RunQuarantineBench},
      {"admission", RunAdmissionBench}, {"cost", RunCostBench}};
  for (int i = 1; i < argc; ++i) {
    bool known = false;
    for (const auto& [name, run] : sections)
      known = known || name == argv[i];
    if (!known) {
      std::fprintf(stderr, "policy_bench: unknown section \"%s\"\n", argv[i]);
      return 2;
    }
  }
  for (const auto& [name, run] : sections) {
    bool chosen = argc == 1;
    for (int i = 1; i < argc; ++i)
      chosen = chosen || name == argv[i];
    if (chosen)
      run();
  }
  return 0;
}
