#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/node/claim_log.h"
#include "slatestall/node/key_directory.h"
#include "slatestall/node/outcome_service.h"

namespace slatestall {

/// @brief Finds the authority over a key and carries questions and endings to
/// it: the home of a minted key or the writer of a caller's key, here or on
/// another host. Answers the same questions of other hosts. Control thread
/// only.
/// @ingroup node
class outcome_router : public std::enable_shared_from_this<outcome_router> {
 public:
  using answer_function = std::function<void(const claim_answer&)>;
  using stored_function = std::function<void(bool stored)>;

  outcome_router(const host_id& self, const outcome_options& options,
                 std::shared_ptr<claim_log> log,
                 std::shared_ptr<key_directory> keys, outcome_peers peers,
                 now_function now);

  /// @brief Registers the handlers of claims with the peer layer.
  void Listen();

  /// @brief Claims a key for a request of this host; `done` runs once.
  void Claim(const claim_attempt& attempt, milliseconds wait,
             const answer_function& done);
  /// @brief The state of a key; `kNotFound` where no request has begun.
  void Find(const claim_key& key, milliseconds wait,
            const answer_function& done);
  /// @brief `done(false)`: not stored as far as is known; try again later.
  void End(const claim_ending& ending, const stored_function& done);

  /// @brief Where the keys of this host went when it drained.
  void SetSuccessor(const host_id& successor) { successor_ = successor; }
  /// @brief Whether this host decides about the keys of `home`.
  bool Decides(const host_id& home) const {
    return HomeRoute(home).at == place::kHome;
  }
  /// @brief Whether this incarnation is known to be gone.
  bool IsGone(const host_id& host) const;
  /// @brief Looks after the partitions that this host writes. Call every
  /// second.
  void Tend();

  std::uint64_t PeerClaims() const { return peer_claims_; }

 private:
  enum class place { kHome, kLog, kPeer, kGone, kMalformed };

  struct route {
    place at = place::kGone;
    host_id home;      ///< Minted keys.
    std::string peer;  ///< `kPeer`.
  };

  route RouteOf(const claim_key& key) const;
  route HomeRoute(const host_id& home) const;
  std::string WriterFor(const claim_key& key) const;
  bool IsCold(const std::string& writer, const claim_key& key) const;
  std::vector<std::string> UsableHosts() const;

  void Ask(const claim_attempt& attempt, milliseconds wait,
           const answer_function& done);
  void AskPeer(const std::string& peer, const claim_attempt& attempt,
               milliseconds wait, const answer_function& done);
  void AskHere(const route& to, const claim_attempt& attempt, milliseconds wait,
               const answer_function& done);
  void EndAtPeer(const std::string& peer, const claim_ending& ending,
                 const stored_function& done);

  using reply_function = std::function<void(wire::messageUnion)>;
  void TakeClaim(const wire::claim_requestT& request, const std::string& from,
                 const reply_function& reply);
  void TakeEnd(const wire::claim_endT& message, const std::string& from,
               const reply_function& reply);
  void TakeKeys(const wire::key_handoverT& part, const reply_function& reply);

  host_id self_;
  outcome_options options_;
  std::shared_ptr<claim_log> log_;
  std::shared_ptr<key_directory> keys_;
  outcome_peers peers_;
  now_function now_;
  std::optional<host_id> successor_;
  std::map<std::string, time_point> avoid_;  ///< Writers that did not answer.
  std::map<std::string, time_point> cold_;   ///< Writers still reading.
  std::uint64_t peer_claims_ = 0;
};

}  // namespace slatestall
