#include "slatestall/model/listen_address.h"

#include <charconv>
#include <stdexcept>

namespace slatestall {

listen_address ParseListenAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    throw std::invalid_argument("not an IP:port: " + text);
  }
  listen_address parsed;
  parsed.address = text.substr(0, colon);
  if (parsed.address.front() == '[' && parsed.address.back() == ']') {
    parsed.address = parsed.address.substr(1, parsed.address.size() - 2);
  }
  const char* end = text.data() + text.size();
  const auto result =
      std::from_chars(text.data() + colon + 1, end, parsed.port);
  if (result.ec != std::errc{} || result.ptr != end) {
    throw std::invalid_argument("not an IP:port: " + text);
  }
  return parsed;
}

}  // namespace slatestall
