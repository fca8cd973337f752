#include "slatestall/config/problem_sink.h"

#include <algorithm>
#include <tuple>

namespace slatestall {
namespace {

// A file of nothing but mistakes would make an answer many times its size.
constexpr std::size_t kMostProblems = 1000;

}  // namespace

void problem_sink::Remember(const std::string& path, text_position where) {
  places_.emplace(path, where);
}

text_position problem_sink::PlaceOf(std::string path) const {
  while (true) {
    const auto found = places_.find(path);
    if (found != places_.end()) {
      return found->second;
    }
    if (path.empty()) {
      return {};
    }
    const std::size_t cut = path.find_last_of(".[");
    path.resize(cut == std::string::npos ? 0 : cut);
  }
}

void problem_sink::Add(const std::string& path, const std::string& message) {
  AddAt(PlaceOf(path), path, message);
}

void problem_sink::AddAt(text_position where, const std::string& path,
                         const std::string& message) {
  faulty_.insert(path);
  if (problems_.size() < kMostProblems) {
    problems_.push_back({file_, where.line, where.column, path, message});
  } else {
    ++left_out_;
  }
}

void problem_sink::Take(const std::vector<config_problem>& problems) {
  for (const config_problem& problem : problems) {
    AddAt({problem.line, problem.column}, problem.path, problem.message);
  }
}

std::vector<config_problem> problem_sink::Sorted() const {
  std::vector<config_problem> sorted = problems_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const config_problem& a, const config_problem& b) {
                     return std::tie(a.line, a.column) <
                            std::tie(b.line, b.column);
                   });
  if (left_out_ > 0) {
    sorted.push_back(
        {file_, 0, 0, "", "and " + std::to_string(left_out_) + " more"});
  }
  return sorted;
}

}  // namespace slatestall
