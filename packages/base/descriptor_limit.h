// The limit of open files and sockets of this process.

#ifndef POLLENRUDDER_BASE_DESCRIPTOR_LIMIT_H_
#define POLLENRUDDER_BASE_DESCRIPTOR_LIMIT_H_

#include <cstddef>

namespace pollenrudder {

// Returns the number of file descriptors that the system allows the process.
std::size_t DescriptorLimit();

}  // namespace pollenrudder

#endif  // POLLENRUDDER_BASE_DESCRIPTOR_LIMIT_H_
