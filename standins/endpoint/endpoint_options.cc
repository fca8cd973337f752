#include "standins/endpoint/endpoint_options.h"

#include <sstream>
#include <stdexcept>

namespace slatestall {
namespace {

endpoint_spec ParseSpec(const std::string& text) {
  const std::size_t first = text.find(':');
  const std::size_t last = text.rfind(':');
  if (first == std::string::npos || first == last) {
    throw std::invalid_argument(text + " is not kind:IP:port:failure_domain");
  }
  const auto kind = ValueIn(kServiceKindNames, text.substr(0, first));
  if (!kind) {
    throw std::invalid_argument("unknown kind in " + text);
  }
  return {*kind, ParseListenAddress(text.substr(first + 1, last - first - 1)),
          text.substr(last + 1)};
}

}  // namespace

std::vector<endpoint_spec> ParseSpecs(const std::string& text) {
  std::vector<endpoint_spec> specs;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    specs.push_back(ParseSpec(item));
  }
  return specs;
}

}  // namespace slatestall
