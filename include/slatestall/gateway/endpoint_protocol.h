#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "slatestall/dispatch/piece_queue.h"
#include "slatestall/http/http_header.h"
#include "slatestall/model/time.h"
#include "slatestall/model/told_load.h"
#include "slatestall/relay/message_reader.h"

namespace slatestall {

/// @brief A part of a prompt that an endpoint can keep cached.
/// @ingroup gateway
struct prompt_part {
  std::string id;
  std::uint32_t tokens = 0;
};

/// @brief What a caller's request says beside method, path and body.
struct request_facts {
  std::string id;
  std::string key;                          ///< Workspace key; empty: none.
  std::optional<milliseconds> patience;     ///< How long the caller waits.
  std::optional<std::uint64_t> last_event;  ///< The caller resumes after it.
  /// Id of the request that brought the first event of the stream which the
  /// caller resumes; empty: it does not, or does not name it.
  std::string resumes;
  std::uint32_t prompt_tokens = 0;
  std::vector<prompt_part> prompt;  ///< In order; the last is its own.
  std::vector<unsigned> pieces;     ///< By stage.
  std::string piece_key;
};

/// @brief What goes with a request to an endpoint.
struct dispatch_facts {
  std::string request;      ///< Id of the request.
  std::string endpoint_id;  ///< Of the endpoint that it is meant for.
  std::string workspace;    ///< Empty: none.
  milliseconds time_left{0};
  std::vector<std::string> inputs;  ///< Handles of results of its stages.
  std::optional<std::uint64_t> resume_after;
};

/// @brief What the head of an endpoint's answer says.
struct answer_facts {
  bool is_to_this_request = false;
  bool proven = false;   ///< Carries the endpoint's signature.
  bool not_run = false;  ///< The endpoint says that it did not run it.
  bool other_incarnation = false;  ///< Not run: another one listens there.
  bool inputs_gone = false;        ///< Not run: results were dropped.
  bool encoded = false;  ///< Its body is not the endpoint's plain bytes.
  std::optional<told_load> load;
  /// Calls a second that the endpoint takes from all hosts together.
  std::optional<double> quota;
  /// Calls a second that the endpoint bears to turn away, of all hosts.
  std::optional<double> brittle;
  /// It names such a number, which may not be one that can be read.
  bool names_brittle = false;
  bool leaving = false;  ///< The endpoint takes no new work.
  /// From a refusal: how long the endpoint takes no other call of this host.
  std::optional<milliseconds> retry_after;
};

enum class piece_end {
  kMade,
  kTooLate,     ///< Its time had run out at its turn.
  kInputsGone,  ///< Results that it needs are no longer kept.
  kNoRoom,      ///< The endpoint cannot hold another result.
  kFailed,
};

struct piece_result {
  piece_end end = piece_end::kFailed;
  /// The endpoint's answer says what came of the piece; else it failed.
  bool is_readable = true;
  std::string handle;  ///< Of `kMade`.
};

/// @brief How endpoints are spoken to; the core names no header or field.
struct endpoint_protocol {
  /// @throws request_error where the request lacks what it must have.
  std::function<request_facts(const message_head&)> read_request;
  /// Headers for the endpoint: the caller's, less those of one connection and
  /// those that only this system may set, and those that it sets.
  std::function<http_headers(const http_headers& from_caller,
                             const dispatch_facts&)>
      write_headers;
  std::function<answer_facts(const message_head&, const dispatch_facts&,
                             time_point now)>
      read_answer;
  /// Headers for the caller: the endpoint's, less those of one connection.
  std::function<http_headers(const http_headers& from_endpoint)> answer_headers;

  std::string stage_path;
  std::string free_path;
  std::function<http_headers(const std::string& endpoint_id)> stage_headers;
  std::function<std::string(const std::vector<waiting_piece>&, time_point now)>
      write_pieces;
  /// @param maker "IP:port" of the endpoint that answered.
  /// @returns as many results as pieces were sent, or none: not readable. No
  /// two have one handle, and each handle names its maker.
  std::function<std::vector<piece_result>(const std::string& body,
                                          const std::string& maker)>
      read_pieces;
  std::function<std::string(const std::vector<std::string>& handles)>
      write_free;
  /// "IP:port" of the endpoint that keeps a result; empty: it is no handle.
  std::function<std::string(const std::string& handle)> keeper_of;
  /// Load and refusal of the answer to a stage call.
  std::function<answer_facts(int status, const http_headers&, time_point now)>
      read_stage_answer;
};

}  // namespace slatestall
