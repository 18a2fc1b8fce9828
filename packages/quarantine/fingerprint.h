// Fingerprint of a request, by which requests that crash upstreams are
// recognized.

#ifndef POLLENRUDDER_QUARANTINE_FINGERPRINT_H_
#define POLLENRUDDER_QUARANTINE_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace pollenrudder {

// Returns the XXH3 hash of the four parts. Each part is hashed together with
// its length, so that requests that differ only in the boundary between two
// parts have different fingerprints. Headers are excluded because they differ
// between repeats of a request.
std::uint64_t RequestFingerprint(std::string_view service,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_QUARANTINE_FINGERPRINT_H_
