#include "slatestall/config/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace slatestall {
namespace {

// Names are short; anything longer is not a misspelt one and is not compared,
// so that a hostile file cannot make the comparison slow.
constexpr std::size_t kLongestCompared = 64;
constexpr std::size_t kMostCompared = 1000;

// Levenshtein distance.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& known) {
  std::string nearest;
  if (name.size() > kLongestCompared || known.size() > kMostCompared) {
    return nearest;
  }
  std::size_t best = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance < best && distance < candidate.size()) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

std::string Suggestion(std::string_view name,
                       const std::vector<std::string>& known) {
  const std::string nearest = NearestName(name, known);
  return nearest.empty() ? "" : "; did you mean '" + nearest + "'?";
}

}  // namespace slatestall
