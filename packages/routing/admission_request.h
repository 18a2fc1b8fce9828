// A request submitted to Admission for a slot of an upstream.

#ifndef POLLENRUDDER_ROUTING_ADMISSION_REQUEST_H_
#define POLLENRUDDER_ROUTING_ADMISSION_REQUEST_H_

#include <cstdint>

#include "base/boot_clock.h"

namespace pollenrudder {

struct AdmissionRequest {
  // Chosen by the code that uses Admission; unique among its requests.
  std::uint64_t ticket = 0;
  // Queued requests share the slots by flow, for example by a hash of the team
  // and the caller's address.
  std::uint64_t flow = 0;
  BootTime deadline;
  // The fingerprint is suspect: the request runs in isolation on its upstream.
  bool suspect = false;
};

}  // namespace pollenrudder

#endif  // POLLENRUDDER_ROUTING_ADMISSION_REQUEST_H_
