// Printing and memory counts of policy_bench.

#ifndef POLLENRUDDER_ROUTING_BENCH_REPORT_H_
#define POLLENRUDDER_ROUTING_BENCH_REPORT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace pollenrudder {

// Prints the tables of policy_bench as Markdown.
class BenchReport {
 public:
  static void Title(const std::string& text);
  static void Row(const std::vector<std::string>& cells);
  // Prints a head row and the rule below it.
  static void Head(const std::vector<std::string>& cells);
  static std::string Number(double value, int decimals);

  // Bytes that operator new has given out and not got back.
  static std::size_t allocated_bytes();
  // Mean time of `step` over `count` calls.
  static double Nanoseconds(std::size_t count,
                            const std::function<void()>& step);
};

// The sections of policy_bench.
void RunPlacementBench();
void RunBalanceBench();
void RunChoiceBench();
void RunRetryBench();
void RunRecordsBench();
void RunQuarantineBench();
void RunAdmissionBench();
void RunCostBench();

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_BENCH_REPORT_H_
