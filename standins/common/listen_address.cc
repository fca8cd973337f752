#include "standins/common/listen_address.h"

#include <charconv>
#include <stdexcept>

namespace slatestall {

listen_address ParseListenAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    throw std::invalid_argument(text + " is not IP:port");
  }
  listen_address address{text.substr(0, colon), 0};
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto result = std::from_chars(first, last, address.port);
  if (result.ec != std::errc{} || result.ptr != last) {
    throw std::invalid_argument(text + " has no port number");
  }
  return address;
}

}  // namespace slatestall
