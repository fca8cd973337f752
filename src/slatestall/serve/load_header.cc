#include "slatestall/serve/load_header.h"

#include <vector>

namespace slatestall {

std::optional<told_load> LoadInHeader(std::string_view text, time_point at) {
  constexpr std::size_t kFigures = 3;
  std::vector<std::string_view> figures;
  while (figures.size() <= kFigures) {
    const auto slash = text.find('/');
    figures.push_back(text.substr(0, slash));
    if (slash == std::string_view::npos) {
      break;
    }
    text.remove_prefix(slash + 1);
  }
  return figures.size() == kFigures ? LoadFrom(figures, at) : std::nullopt;
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
