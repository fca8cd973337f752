#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/config/config_problem.h"

namespace slatestall {

/// @brief Place in a file, from 1; 0 where it is not known.
struct text_position {
  int line = 0;
  int column = 0;
};

enum class yaml_kind { kNull, kScalar, kList, kMap };

struct yaml_node;
using yaml_node_ptr = std::shared_ptr<const yaml_node>;

struct yaml_entry {
  std::string key;
  text_position key_position;
  yaml_node_ptr value;
};

/// @brief One node as written: unlike yaml-cpp's own it keeps the positions of
/// keys and whether a scalar was quoted.
struct yaml_node {
  yaml_kind kind = yaml_kind::kNull;
  text_position position;
  std::string text;     ///< Scalars.
  bool quoted = false;  ///< Scalars: never a number or a flag.
  std::vector<yaml_node_ptr> items;
  std::vector<yaml_entry> entries;
  std::size_t expanded_size = 1;  ///< Nodes below, each alias counted again.
};

struct yaml_document {
  yaml_node_ptr root;  ///< Null where the text could not be read.
  std::vector<config_problem> problems;
};

/// @brief Reads one YAML document. Duplicate keys are problems and the first
/// value stays; syntax errors, oversize, bytes that are not UTF-8 and aliases
/// that expand without bound leave no root.
yaml_document ReadYaml(const std::string& text, const std::string& file);

}  // namespace slatestall
