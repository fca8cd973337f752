#include "slatestall/dispatch/first_event_time.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace slatestall {
namespace {

/// Fewer say too little of three terms.
constexpr std::size_t kFewest = 8;
/// Some fifty observations count: ten seconds of a host that begins five
/// streams a second.
constexpr double kKept = 0.98;
/// A longer one is taken as a stall, not as the speed.
constexpr double kMostTimesExpected = 2.0;
/// Pulls factors that the observations say nothing of towards zero. Terms are
/// some thousand tokens, so that it is small against a single observation.
constexpr double kRidge = 0.05;
constexpr double kTokensPerTerm = 1000.0;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

/// Solves a small symmetric positive definite system in place.
template <std::size_t N>
std::array<double, N> Solve(std::array<std::array<double, N>, N> matrix,
                            std::array<double, N> right) {
  for (std::size_t pivot = 0; pivot < N; ++pivot) {
    for (std::size_t row = pivot + 1; row < N; ++row) {
      const double factor = matrix[row][pivot] / matrix[pivot][pivot];
      for (std::size_t column = pivot; column < N; ++column) {
        matrix[row][column] -= factor * matrix[pivot][column];
      }
      right[row] -= factor * right[pivot];
    }
  }
  std::array<double, N> solution{};
  for (std::size_t row = N; row-- > 0;) {
    double value = right[row];
    for (std::size_t column = row + 1; column < N; ++column) {
      value -= matrix[row][column] * solution[column];
    }
    solution[row] = value / matrix[row][row];
  }
  return solution;
}

}  // namespace

first_event_time::term_values first_event_time::TermsOf(
    const prompt_size& prompt) {
  return {1.0, prompt.own_tokens / kTokensPerTerm,
          prompt.shared_tokens / kTokensPerTerm};
}

double first_event_time::Fitted(const prompt_size& prompt) const {
  const term_values values = TermsOf(prompt);
  double seconds = 0;
  for (std::size_t i = 0; i < kTerms; ++i) {
    seconds += values[i] * factors_[i];
  }
  return seconds;
}

/// Half of the streams take longer than the fitted time; with the mean
/// deviation on top, one in five or so.
duration first_event_time::Expected(const prompt_size& prompt,
                                    duration otherwise) const {
  if (seen_ < kFewest) {
    return otherwise;
  }
  return FromSeconds(Fitted(prompt) + deviation_.Value());
}

void first_event_time::Note(const prompt_size& prompt, duration taken) {
  double seconds = Seconds(taken);
  if (seen_ >= kFewest) {
    const double fitted = Fitted(prompt);
    const double most = kMostTimesExpected * (fitted + deviation_.Value());
    seconds = std::min(seconds, most);
    deviation_.Add(std::abs(seconds - fitted));
  }
  const term_values values = TermsOf(prompt);
  for (std::size_t row = 0; row < kTerms; ++row) {
    for (std::size_t column = 0; column < kTerms; ++column) {
      products_[row][column] =
          kKept * products_[row][column] + values[row] * values[column];
    }
    targets_[row] = kKept * targets_[row] + values[row] * seconds;
  }
  ++seen_;
  Fit();
}

/// More tokens never take less time: a factor below zero is chance, and the
/// others are fitted without it.
void first_event_time::Fit() {
  auto matrix = products_;
  auto right = targets_;
  for (std::size_t i = 0; i < kTerms; ++i) {
    matrix[i][i] += kRidge;
  }
  for (std::size_t left = kTerms; left > 0; --left) {
    factors_ = Solve(matrix, right);
    const auto least = std::min_element(factors_.begin(), factors_.end());
    if (*least >= 0) {
      return;
    }
    const auto dropped =
        static_cast<std::size_t>(std::distance(factors_.begin(), least));
    for (std::size_t i = 0; i < kTerms; ++i) {
      matrix[dropped][i] = 0;
      matrix[i][dropped] = 0;
    }
    matrix[dropped][dropped] = 1;
    right[dropped] = 0;
  }
}

}  // namespace slatestall
