#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "slatestall/model/time.h"

namespace slatestall {

/// @brief A piece time as seen, in seconds, within what is plausible beside the
/// configured one, which is approximate and differs by stage.
double PlausiblePieceTime(double seconds, duration configured);

/// @brief What one piece adds to a call, learnt by kind of work.
///
/// A call tells only the sum over its pieces. The difference from what was
/// expected is shared out over the kinds in it by their numbers (normalized
/// least mean squares), so that calls of different mixtures tell them apart.
/// Pure state.
/// @ingroup dispatch
class piece_costs {
 public:
  /// @brief Pieces of a call, by kind.
  using kind_counts = std::map<std::uint64_t, unsigned>;

  /// @param taken By the pieces of one call together.
  /// @param configured Time of a piece; bounds what is learnt.
  void Note(const kind_counts& pieces, duration taken, duration configured);
  /// @returns `otherwise` for a kind that is not known.
  duration PieceTime(std::uint64_t kind, duration otherwise) const;

 private:
  struct kind_cost {
    double seconds = 0;
    std::uint64_t last_seen = 0;  ///< Number of the call.
  };

  void MakeRoom();

  std::map<std::uint64_t, kind_cost> kinds_;
  std::uint64_t calls_ = 0;
};

}  // namespace slatestall
