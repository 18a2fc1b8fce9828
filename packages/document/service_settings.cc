// ServiceSettings: lookup of repeatable methods.

#include "document/service_settings.h"

#include <algorithm>

namespace pollenrudder {

bool ServiceSettings::IsRepeatable(const std::string& method) const {
  return std::find(repeatable_methods.begin(), repeatable_methods.end(),
                   method) != repeatable_methods.end();
}

}  // namespace pollenrudder
