#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "slatestall/gateway/routing_table.h"

namespace slatestall {

/// @brief How far the stages of one request are. Pure state.
///
/// Stages run as early as their inputs allow, but a short side branch waits
/// until as many steps are left on the longest one: results take up scarce
/// room at their makers until the request itself has fetched them.
/// @ingroup gateway
class stage_graph {
 public:
  /// @param pieces By stage; missing ones and 0 leave the stage out.
  stage_graph(const std::vector<stage_rule>& stages,
              const std::vector<unsigned>& pieces);

  /// @brief Stages to begin now; each is returned once until `Reset`.
  std::vector<std::size_t> TakeReady();
  void SetDone(std::size_t stage, std::vector<std::string> handles);
  bool AllDone() const;

  /// @brief Results of all stages that this one takes.
  std::vector<std::string> InputsOf(std::size_t stage) const;
  /// @brief Results of the stages that no other stage takes.
  std::vector<std::string> FinalInputs() const;
  /// @brief Results that nothing needs any more now that `stage` is done.
  std::vector<std::string> SpentBy(std::size_t stage) const;
  /// @brief All results; for giving them up.
  std::vector<std::string> AllHandles() const;
  /// @brief Begins anew: results were lost.
  void Reset();

  unsigned Pieces(std::size_t stage) const { return nodes_[stage].pieces; }
  bool Empty() const;
  /// @brief Longest chain of stages from this one to the end, itself included.
  std::size_t Height(std::size_t stage) const { return nodes_[stage].height; }
  std::size_t Size() const { return nodes_.size(); }
  const std::vector<std::size_t>& After(std::size_t stage) const {
    return nodes_[stage].after;
  }

 private:
  struct node {
    std::vector<std::size_t> after;
    unsigned pieces = 0;
    std::size_t height = 1;
    bool is_final = true;
    bool begun = false;
    bool done = false;
    std::vector<std::string> handles;
  };

  std::vector<node> nodes_;
};

}  // namespace slatestall
