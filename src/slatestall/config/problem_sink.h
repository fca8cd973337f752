#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "slatestall/config/config_problem.h"
#include "slatestall/config/yaml_tree.h"

namespace slatestall {

/// @brief Collects the problems of one file, and remembers where each field
/// stands so that later checks can name its place.
class problem_sink {
 public:
  explicit problem_sink(std::string file) : file_(std::move(file)) {}

  void Remember(const std::string& path, text_position where);

  /// @brief Adds a problem at the remembered place of `path`, or of the
  /// nearest field around it.
  void Add(const std::string& path, const std::string& message);
  void AddAt(text_position where, const std::string& path,
             const std::string& message);
  void Take(const std::vector<config_problem>& problems);

  /// @brief Whether the field was free of problems so far. Checks that build
  /// on a value ask this first: a wrong value is told once, not again by all
  /// that depends on it.
  bool Sound(const std::string& path) const { return !faulty_.contains(path); }

  /// @brief All problems, in the order of the file.
  std::vector<config_problem> Sorted() const;

 private:
  text_position PlaceOf(std::string path) const;

  std::string file_;
  std::map<std::string, text_position> places_;
  std::set<std::string> faulty_;
  std::vector<config_problem> problems_;
  std::size_t left_out_ = 0;
};

}  // namespace slatestall
