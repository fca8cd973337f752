#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/model/ids.h"
#include "slatestall/node/outcome_service.h"
#include "slatestall/policy/key_home.h"

namespace slatestall {

/// @brief Sends a frozen host's keys, part by part, to the first candidate
/// that takes them all. A candidate that fails is left for the next: what it
/// got is of no use to anybody, since only the one named in `done` is ever
/// asked for the keys. Control thread only.
/// @ingroup node
class key_handover : public std::enable_shared_from_this<key_handover> {
 public:
  using done_function = std::function<void(std::optional<host_id> successor)>;

  key_handover(outcome_peers peers, milliseconds timeout,
               const std::vector<key_home_state>& states,
               std::vector<std::string> candidates, done_function done);

  void Start();

 private:
  void SendPart();
  void TakeReply(const peer_reply& reply);
  void TryNextCandidate();
  void Finish(std::optional<host_id> successor);

  outcome_peers peers_;
  milliseconds timeout_;
  std::vector<wire::key_handoverT> parts_;
  std::vector<std::string> candidates_;
  done_function done_;
  std::uint64_t incarnation_ = 0;  ///< Of the candidate; 0: not known yet.
  std::size_t candidate_ = 0;
  std::size_t part_ = 0;
  int attempts_ = 0;
};

}  // namespace slatestall
