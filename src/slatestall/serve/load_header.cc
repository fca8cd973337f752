#include "slatestall/serve/load_header.h"

#include <array>
#include <charconv>

namespace slatestall {
namespace {

/// Counts past this are nonsense and would keep an endpoint from all calls.
constexpr std::uint32_t kMostCalls = 1'000'000;

}  // namespace

std::optional<told_load> LoadInHeader(std::string_view text, time_point at) {
  std::array<std::uint32_t, 3> counts{};
  const char* next = text.data();
  const char* const end = next + text.size();
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (i > 0 && (next == end || *next++ != '/')) {
      return std::nullopt;
    }
    const auto read = std::from_chars(next, end, counts[i]);
    if (read.ec != std::errc{} || counts[i] > kMostCalls) {
      return std::nullopt;
    }
    next = read.ptr;
  }
  if (next != end) {
    return std::nullopt;
  }
  return told_load{counts[0], counts[1], counts[2], at};
}

void TellLoad(const lane_environment& environment, const std::string& address,
              const http_headers& headers) {
  if (!environment.hooks.on_endpoint_told) {
    return;
  }
  if (const auto load =
          LoadInHeader(FindHeader(headers, "X-Load"), environment.now())) {
    environment.hooks.on_endpoint_told(address, *load);
  }
}

}  // namespace slatestall
