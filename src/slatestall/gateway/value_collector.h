#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "slatestall/gateway/large_value.h"

namespace slatestall {

/// @brief Completes large values from the pieces that this host has and those
/// that it reads from others, a few at a time. Used from one thread.
///
/// One value is completed after the other, so that a slow link carries nothing
/// twice. What arrived counts for the next try, at whichever host.
/// @ingroup gateway
class value_collector {
 public:
  /// Packed pieces as they were asked for; none where the host does not answer.
  using pieces_hook = std::function<void(std::vector<std::string>)>;
  using ask_hook = std::function<void(const std::string& host,
                                      const std::vector<std::uint64_t>& digests,
                                      pieces_hook done)>;
  using done_hook = std::function<void(large_value_ptr)>;

  explicit value_collector(ask_hook ask) : ask_(std::move(ask)) {}

  /// @param host That named the pieces.
  /// @param known An earlier value of the same key, or null.
  /// @param done Gets null where the host does not send all that is missing.
  void Collect(const std::string& host, value_outline outline,
               large_value_ptr known, done_hook done);

 private:
  struct job {
    std::string host;
    value_outline outline;
    large_value_ptr known;
    done_hook done;
  };

  void Begin();
  void AskOn();
  void Ask();
  void OnPieces(const std::vector<value_piece>& asked,
                std::vector<std::string> packed);
  void End();
  bool UsesKnown() const;
  std::string_view Find(const value_piece& piece) const;
  large_value_ptr Join() const;

  ask_hook ask_;
  std::deque<job> jobs_;  ///< The first is being completed.
  std::unordered_map<std::uint64_t, std::string> arrived_;
  std::vector<value_piece> missing_;  ///< Not asked for yet.
  std::size_t awaited_ = 0;           ///< Questions without an answer yet.
  bool has_failed_ = false;
  large_value_ptr newest_;  ///< That was completed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace slatestall
