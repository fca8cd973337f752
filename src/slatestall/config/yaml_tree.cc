#include "slatestall/config/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

#include "slatestall/config/utf8.h"
#include "slatestall/config/value_text.h"

namespace slatestall {
namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{1} << 20U;

// A few kilobytes of nested aliases can stand for billions of nodes. Every
// later step walks the expanded tree, so its size is bounded here; the largest
// fleet planned for (1,300 engines, 360 workspaces) needs some 20,000.
constexpr std::size_t kMaxNodes = 200000;

text_position PositionOf(const YAML::Mark& mark) {
  return mark.is_null() ? text_position{}
                        : text_position{mark.line + 1, mark.column + 1};
}

class document_error : public std::runtime_error {
 public:
  document_error(text_position where, const std::string& message)
      : std::runtime_error(message), where_(where) {}

  text_position Where() const { return where_; }

 private:
  text_position where_;
};

using mutable_node = std::shared_ptr<yaml_node>;

struct duplicate_key {
  text_position where;
  std::string path;
  std::string message;
};

class tree_builder : public YAML::EventHandler {
 public:
  yaml_node_ptr Root() const { return root_; }

  const std::vector<duplicate_key>& Duplicates() const { return duplicates_; }

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    Place(Make(yaml_kind::kNull, mark, anchor));
  }

  void OnScalar(const YAML::Mark& mark, const std::string& tag,
                YAML::anchor_t anchor, const std::string& value) override {
    const mutable_node node = Make(yaml_kind::kScalar, mark, anchor);
    node->text = value;
    // yaml-cpp hands out "?" for plain scalars and "!" for quoted ones.
    node->quoted = tag != "?" && !tag.empty();
    Place(node);
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    const auto found = anchors_.find(anchor);
    if (found == anchors_.end() || open_anchors_.contains(found->second)) {
      throw document_error(PositionOf(mark),
                           "an alias stands inside what it refers to");
    }
    alias_position_ = PositionOf(mark);
    Place(found->second);
  }

  void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    Open(Make(yaml_kind::kList, mark, anchor));
  }

  void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    Open(Make(yaml_kind::kMap, mark, anchor));
  }

  void OnSequenceEnd() override { Close(); }
  void OnMapEnd() override { Close(); }

 private:
  struct open_node {
    mutable_node node;
    std::optional<yaml_entry> pending;  // A key that waits for its value.
    std::map<std::string, int> key_lines;
  };

  mutable_node Make(yaml_kind kind, const YAML::Mark& mark,
                    YAML::anchor_t anchor) {
    auto node = std::make_shared<yaml_node>();
    node->kind = kind;
    node->position = PositionOf(mark);
    alias_position_ = node->position;
    if (anchor != YAML::NullAnchor) {
      anchors_[anchor] = node;
    }
    return node;
  }

  void Open(const mutable_node& node) {
    open_anchors_.insert(node);
    open_.push_back({node, std::nullopt, {}});
  }

  void Close() {
    const mutable_node node = open_.back().node;
    open_.pop_back();
    open_anchors_.erase(node);
    Place(node);
  }

  void Place(const mutable_node& node) {
    if (open_.empty()) {
      root_ = node;
      return;
    }
    open_node& parent = open_.back();
    Grow(*parent.node, node->expanded_size);
    if (parent.node->kind == yaml_kind::kList) {
      parent.node->items.push_back(node);
    } else if (parent.pending) {
      AddEntry(parent, node);
    } else {
      parent.pending = KeyFrom(*node);
    }
  }

  void Grow(yaml_node& node, std::size_t by) const {
    node.expanded_size += by;
    if (node.expanded_size > kMaxNodes) {
      throw document_error(alias_position_,
                           "the aliases of this file expand to more than " +
                               std::to_string(kMaxNodes) + " nodes");
    }
  }

  static yaml_entry KeyFrom(const yaml_node& node) {
    if (node.kind != yaml_kind::kScalar) {
      throw document_error(node.position, "a key must be plain text");
    }
    return {node.text, node.position, nullptr};
  }

  void AddEntry(open_node& parent, const mutable_node& value) {
    yaml_entry entry = *parent.pending;
    const auto [earlier, is_new] =
        parent.key_lines.emplace(entry.key, entry.key_position.line);
    if (is_new) {
      entry.value = value;
      parent.node->entries.push_back(std::move(entry));
    } else {
      duplicates_.push_back({entry.key_position, PathHere(),
                             "duplicate name " + Quoted(entry.key) +
                                 ", first on line " +
                                 std::to_string(earlier->second)});
    }
    parent.pending.reset();
  }

  std::string PathHere() const {
    std::string path;
    for (const open_node& open : open_) {
      if (open.node->kind == yaml_kind::kList) {
        path += "[" + std::to_string(open.node->items.size()) + "]";
      } else if (open.pending) {
        path += (path.empty() ? "" : ".") + Shortened(open.pending->key);
      }
    }
    return path;
  }

  yaml_node_ptr root_;
  std::vector<open_node> open_;
  std::map<YAML::anchor_t, mutable_node> anchors_;
  std::set<mutable_node> open_anchors_;
  text_position alias_position_;
  std::vector<duplicate_key> duplicates_;
};

text_position PositionAt(const std::string& text, std::size_t offset) {
  text_position where{1, 1};
  for (std::size_t i = 0; i < offset; ++i) {
    ++where.column;
    if (text[i] == '\n') {
      ++where.line;
      where.column = 1;
    }
  }
  return where;
}

void CheckBytes(const std::string& text) {
  if (text.size() > kMaxFileBytes) {
    throw document_error({}, "the file has " + std::to_string(text.size()) +
                                 " bytes; the limit is " +
                                 std::to_string(kMaxFileBytes));
  }
  if (const auto offset = FirstBadByte(text)) {
    throw document_error(PositionAt(text, *offset), "not valid UTF-8 text");
  }
}

void Parse(const std::string& text, tree_builder& builder) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  if (!parser.HandleNextDocument(builder)) {
    return;
  }
  tree_builder second;
  if (parser.HandleNextDocument(second)) {
    const yaml_node_ptr root = second.Root();
    throw document_error(root ? root->position : text_position{},
                         "a second YAML document starts here; one is allowed");
  }
}

}  // namespace

yaml_document ReadYaml(const std::string& text, const std::string& file) {
  yaml_document document;
  const auto add = [&](text_position where, const std::string& message) {
    document.problems.push_back({file, where.line, where.column, "", message});
  };
  tree_builder builder;
  try {
    CheckBytes(text);
    Parse(text, builder);
    document.root = builder.Root();
    if (!document.root) {
      // What an empty file lacks is missing from its first line.
      const auto empty = std::make_shared<yaml_node>();
      empty->position = {1, 1};
      document.root = empty;
    }
  } catch (const document_error& error) {
    add(error.Where(), error.what());
  } catch (const YAML::Exception& error) {
    add(PositionOf(error.mark), "YAML: " + error.msg);
  }
  for (const duplicate_key& found : builder.Duplicates()) {
    document.problems.push_back({file, found.where.line, found.where.column,
                                 found.path, found.message});
  }
  return document;
}

}  // namespace slatestall
