#include "slatestall/http/http_header.h"

#include "slatestall/http/ascii_case.h"

namespace slatestall {

std::string_view FindHeader(const http_headers& headers,
                            std::string_view name) {
  for (const http_header& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

}  // namespace slatestall
