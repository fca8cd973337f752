#pragma once

#include <curl/curl.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "slatestall/http/http_client.h"

namespace slatestall {

class curl_event_loop;

struct curl_easy_deleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using curl_easy_handle = std::unique_ptr<CURL, curl_easy_deleter>;

struct curl_list_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using curl_list = std::unique_ptr<curl_slist, curl_list_deleter>;

/// @brief One call on one libcurl easy handle: its options, what arrived of
/// its answer, and the verdict on how it ended.
class client_call {
 public:
  /// @param on_first_data runs with the first data after each `TellRead`.
  client_call(http_call call, http_client::completion done,
              curl_easy_handle easy, curl_event_loop& loop,
              std::function<void()> on_first_data);
  client_call(const client_call&) = delete;
  client_call& operator=(const client_call&) = delete;

  CURL* Easy() const { return easy_.get(); }

  /// @brief Sets all options.
  /// @returns false where the call cannot be put into a request.
  bool Prepare();

  /// @brief From now on nothing of the call's owner is run.
  void Forget();
  bool Forgotten() const { return forgotten_; }

  /// @brief Tells the owner, where data came since the last time.
  void TellRead();

  /// @brief Judges the transfer; to be called once, when libcurl is done.
  void Finish(CURLcode code);
  /// @brief After `Finish`.
  void Measure(const http_client::traffic_meter& meter) const;
  /// @brief Ends a call that `Prepare` turned down.
  void Refuse(std::string reason);

  /// @brief Hands the result to the owner, or throws on what one of its hooks
  /// threw.
  void Deliver();

  curl_easy_handle TakeEasy() { return std::move(easy_); }

 private:
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* self);
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* self);
  static int OnCloseSocket(void* loop, curl_socket_t socket);

  void SetTransport();
  void SetMethod();
  bool SetHeaders();
  bool TakeHeader(std::string_view line);
  bool TakeBody(std::string_view data);
  /// These return whether the bytes are those of an answer.
  bool TakeHeadLine(std::string_view line);
  bool StartAnswer(std::string_view first_line);
  bool TakeField(std::string_view line);
  bool EndHead();
  void ReportStatus();
  void CheckAccepted();
  bool AnswerLengthIsKnown() const;
  call_end Judge(CURLcode code) const;

  http_call call_;
  http_client::completion done_;
  curl_event_loop& loop_;
  std::function<void()> on_first_data_;
  bool has_untold_data_ = false;
  curl_list header_list_;
  std::array<char, CURL_ERROR_SIZE> error_text_{};
  http_result result_;
  std::size_t header_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  bool too_large_ = false;
  bool rejected_ = false;
  bool in_head_ = false;
  bool malformed_ = false;  ///< What came is no head of an answer.
  bool status_reported_ = false;
  bool forgotten_ = false;
  std::exception_ptr thrown_;
  /// Last, so that it goes first: it points into the members above.
  curl_easy_handle easy_;
};

}  // namespace slatestall
