#include "slatestall/model/told_load.h"

#include <charconv>

namespace slatestall {
namespace {

/// Counts past this are nonsense and would keep an endpoint from all calls.
constexpr std::uint32_t kMostCalls = 1'000'000;
constexpr std::uint32_t kMostPace = 100'000;  // Per cent.
constexpr double kUsualPace = 100.0;          // Per cent.

std::optional<std::uint32_t> FigureIn(std::string_view text,
                                      std::uint32_t most) {
  std::uint32_t figure = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, figure);
  if (read.ec != std::errc{} || read.ptr != end || figure > most) {
    return std::nullopt;
  }
  return figure;
}

}  // namespace

std::optional<told_load> LoadFrom(const std::vector<std::string_view>& figures,
                                  time_point at) {
  constexpr std::size_t kCounts = 3;
  if (figures.size() < kCounts) {
    return std::nullopt;
  }
  const auto running = FigureIn(figures[0], kMostCalls);
  const auto waiting = FigureIn(figures[1], kMostCalls);
  const auto slots = FigureIn(figures[2], kMostCalls);
  if (!running || !waiting || !slots) {
    return std::nullopt;
  }
  told_load load{*running, *waiting, *slots, at};
  if (figures.size() == kCounts + 1) {
    const auto pace = FigureIn(figures[kCounts], kMostPace);
    if (pace && *pace > 0) {
      load.pace = *pace / kUsualPace;
    }
  }
  return load;
}

}  // namespace slatestall
