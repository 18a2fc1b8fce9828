// Table output, and operators new and delete that count allocated bytes.

#include "routing/bench_report.h"

#include <malloc.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocated{0};

}  // namespace

void* operator new(std::size_t size) {
  void* const memory = std::malloc(size);
  if (!memory)
    throw std::bad_alloc();
  // The usable size and the size field that the allocator stores before it.
  allocated += malloc_usable_size(memory) + sizeof(std::size_t);
  return memory;
}

// GCC does not detect that both operators are replaced.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
void operator delete(void* memory) noexcept {
  if (memory)
    allocated -= malloc_usable_size(memory) + sizeof(std::size_t);
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  operator delete(memory);
}
#pragma GCC diagnostic pop

namespace pollenrudder {

void BenchReport::Title(const std::string& text) {
  std::printf("\n### %s\n\n", text.c_str());
}

void BenchReport::Row(const std::vector<std::string>& cells) {
  std::string line = "|";
  for (const std::string& cell : cells)
    line += " " + cell + " |";
  std::printf("%s\n", line.c_str());
  std::fflush(stdout);
}

void BenchReport::Header(const std::vector<std::string>& cells) {
  Row(cells);
  Row(std::vector<std::string>(cells.size(), "---"));
}

std::string BenchReport::Number(double value, int decimals) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", decimals, value);
  return text;
}

std::size_t BenchReport::allocated_bytes() {
  return allocated;
}

double BenchReport::Nanoseconds(std::size_t count,
                                const std::function<void()>& step) {
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < count; ++i)
    step();
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / static_cast<double>(count);
}

}  // namespace pollenrudder
