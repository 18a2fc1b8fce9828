// Checked access to the fields of JSON objects, for the codecs of this package.
// Include it only from source files.

#ifndef POLLENRUDDER_OWNERSHIP_JSON_FIELDS_H_
#define POLLENRUDDER_OWNERSHIP_JSON_FIELDS_H_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "base/boot_clock.h"
#include "ownership/term_state.h"

namespace pollenrudder {

// Thrown by these functions at the first invalid field. The public function of
// a codec converts it to an Error.
class JsonFieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

const boost::json::value& RequireField(const boost::json::object& object,
                                       std::string_view name);
const boost::json::array& RequireArray(const boost::json::object& object,
                                       std::string_view name);
std::string RequireString(const boost::json::object& object,
                          std::string_view name);
bool RequireBool(const boost::json::object& object, std::string_view name);
const boost::json::object& AsObject(const boost::json::value& value);
std::uint64_t AsUnsigned(const boost::json::value& value);
std::uint64_t RequireUnsigned(const boost::json::object& object,
                              std::string_view name);
std::uint32_t RequireUnsigned32(const boost::json::object& object,
                                std::string_view name);
std::chrono::nanoseconds RequireNanoseconds(const boost::json::object& object,
                                            std::string_view name);
// Wall times are encoded as whole milliseconds since 1970-01-01 UTC.
WallTime RequireWallTime(const boost::json::object& object,
                         std::string_view name);
std::int64_t WallMilliseconds(WallTime time);

boost::json::array EncodeVoters(const std::vector<Voter>& voters);
std::vector<Voter> DecodeVoters(const boost::json::array& array);
boost::json::array EncodeFingerprints(
    const std::vector<std::uint64_t>& fingerprints);
std::vector<std::uint64_t> DecodeFingerprints(const boost::json::array& array);
TermKind RequireTermKind(const boost::json::object& object,
                         std::string_view name);

}  // namespace pollenrudder

#endif  // POLLENRUDDER_OWNERSHIP_JSON_FIELDS_H_
