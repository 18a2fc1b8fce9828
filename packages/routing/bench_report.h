// Tables, timing and memory counts for policy_bench.

#ifndef POLLENRUDDER_ROUTING_BENCH_REPORT_H_
#define POLLENRUDDER_ROUTING_BENCH_REPORT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace pollenrudder {

// Prints Markdown tables, and measures time and memory.
class BenchReport {
 public:
  static void Title(const std::string& text);
  static void Row(const std::vector<std::string>& cells);
  // Prints the header row and the delimiter row of a table.
  static void Header(const std::vector<std::string>& cells);
  static std::string Number(double value, int decimals);

  // Bytes that are currently allocated by operator new.
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
