// DescriptorLimit: RLIMIT_NOFILE, with a bound where there is none.

#include "base/descriptor_limit.h"

#include <sys/resource.h>

#include <algorithm>

namespace pollenrudder {
namespace {

constexpr rlim_t kDefaultLimit = 1024;
constexpr rlim_t kMaxLimit = 1 << 20;

}  // namespace

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return kDefaultLimit;
  return std::min(limit.rlim_cur, kMaxLimit);
}

}  // namespace pollenrudder
