#include "slatestall/node/longest_deadline.h"

#include <algorithm>

namespace slatestall {
namespace {

/// Deadline of a plain service called directly.
constexpr milliseconds kServiceDeadline{6000};

}  // namespace

milliseconds LongestDeadlineOf(const configuration& content) {
  milliseconds longest = kServiceDeadline;
  for (const auto& [name, pipeline] : content.pipelines) {
    longest = std::max(longest, pipeline.deadline);
  }
  return longest;
}

}  // namespace slatestall
