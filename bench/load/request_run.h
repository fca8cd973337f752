#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "bench/load/answer_check.h"
#include "bench/load/balancer.h"
#include "bench/load/load_flow.h"
#include "bench/load/request_outcome.h"
#include "slatestall/http/http_client.h"

namespace slatestall {

/// @brief What all requests of a run share.
struct load_context {
  asio::io_context& event_loop;
  http_client& client;
  balancer& hosts;
};

/// @brief One request as a caller makes it: gets a key where it needs one,
/// sends its copies, and sends again to another host where it got no answer.
class request_run : public std::enable_shared_from_this<request_run> {
 public:
  using completion = std::function<void(const request_outcome&)>;

  request_run(load_context shared, const load_flow& flow, std::string marker,
              std::string workspace, completion done);

  void Start();
  const std::string& Marker() const { return marker_; }

 private:
  struct copy_state {
    std::string host;
    unsigned sendings = 0;
    std::unique_ptr<answer_check> check;
    duration first_byte{};
    duration last_piece{};
    std::vector<float> gaps_ms;
  };
  using copy_ptr = std::shared_ptr<copy_state>;

  void MintKey(unsigned sendings, const std::string& avoided);
  void RunChain();
  void SendCopies();
  void Send(const copy_ptr& copy);
  http_call CallOf(const copy_ptr& copy);
  std::string Url(const std::string& host) const;
  void Ended(const copy_ptr& copy, const http_result& result);
  bool SendAgain(const copy_ptr& copy, milliseconds after);
  void Finish(const copy_ptr& copy, outcome_kind kind,
              const std::string& detail);
  duration Elapsed() const;

  load_context shared_;
  const load_flow& flow_;
  std::string marker_;
  std::string workspace_;
  std::string key_;
  std::string body_;
  completion done_;
  time_point started_{};
  unsigned open_copies_ = 0;
  bool has_outcome_ = false;
  request_outcome outcome_;
};

}  // namespace slatestall
