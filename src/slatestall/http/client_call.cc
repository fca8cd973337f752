#include "slatestall/http/client_call.h"

#include <algorithm>
#include <utility>

#include "slatestall/http/answer_head.h"
#include "slatestall/http/curl_event_loop.h"
#include "slatestall/http/header_check.h"
#include "slatestall/http/trim.h"

namespace slatestall {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxAnswerHeaderBytes = std::size_t{64} << 10U;

/// libcurl reads a limit of zero as no limit, so that a spent deadline would
/// turn into a call without one.
long AtLeastOneMillisecond(milliseconds limit) {  // NOLINT: libcurl's type
  const auto at_least_one = std::max<milliseconds::rep>(limit.count(), 1);
  return static_cast<long>(at_least_one);  // NOLINT(google-runtime-int)
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

client_call::client_call(http_call call, http_client::completion done,
                         curl_easy_handle easy, curl_event_loop& loop,
                         std::function<void()> on_first_data)
    : call_(std::move(call)),
      done_(std::move(done)),
      loop_(loop),
      on_first_data_(std::move(on_first_data)),
      easy_(std::move(easy)) {}

bool client_call::Prepare() {
  if (!IsToken(call_.method) || !HeadersAreSafe(call_.headers)) {
    return false;
  }
  SetTransport();
  SetMethod();
  return SetHeaders();
}

void client_call::SetTransport() {
  CURL* easy = easy_.get();
  curl_easy_setopt(easy, CURLOPT_URL, call_.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  // An empty string, unlike none, also shuts out http_proxy and its kin from
  // the environment.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   AtLeastOneMillisecond(call_.connect_timeout));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   AtLeastOneMillisecond(call_.timeout));
  // libcurl sends a request again, unasked, when a reused connection ends
  // before the first byte of the answer; the endpoint may have run it by then.
  // It does so on reused connections only, so a fresh one rules it out.
  // It is not kept either: each would add an idle connection to the endpoint.
  const long at_most_once = call_.at_most_once ? 1 : 0;  // NOLINT
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, at_most_once);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, at_most_once);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, error_text_.data());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &loop_);
}

void client_call::SetMethod() {
  CURL* easy = easy_.get();
  const bool has_body = !call_.body.empty();
  if (call_.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (call_.method == "GET" && !has_body) {
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    return;
  }
  if (call_.method == "POST" || has_body) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call_.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call_.body.size()));
  }
  if (call_.method != "POST") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
  }
}

bool client_call::SetHeaders() {
  // A name with nothing after it keeps libcurl from sending its own: Expect
  // would cost a round trip, and the form type would be false.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  if (FindHeader(call_.headers, "Content-Type").empty()) {
    list = curl_slist_append(list, "Content-Type:");
  }
  for (const http_header& header : call_.headers) {
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    list = curl_slist_append(list, line.c_str());
  }
  header_list_.reset(list);
  curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER, list);
  return list != nullptr;
}

void client_call::Forget() {
  forgotten_ = true;
  done_ = nullptr;
}

int client_call::OnCloseSocket(void* loop, curl_socket_t socket) {
  static_cast<curl_event_loop*>(loop)->CloseSocket(socket);
  return 0;
}

std::size_t client_call::OnHeader(char* data, std::size_t size,
                                  std::size_t count, void* self) {
  auto* call = static_cast<client_call*>(self);
  const std::size_t length = size * count;
  return call->TakeHeader({data, length}) ? length : CURL_WRITEFUNC_ERROR;
}

std::size_t client_call::OnBody(char* data, std::size_t size, std::size_t count,
                                void* self) {
  auto* call = static_cast<client_call*>(self);
  const std::size_t length = size * count;
  return call->TakeBody({data, length}) ? length : CURL_WRITEFUNC_ERROR;
}

bool client_call::TakeHeader(std::string_view line) {
  header_bytes_ += line.size();
  if (header_bytes_ > kMaxAnswerHeaderBytes) {
    too_large_ = true;
    return false;
  }
  if (forgotten_) {
    return false;
  }
  // Trailers of a chunked answer come after its data and are passed over.
  if (status_reported_) {
    return true;
  }
  malformed_ = !TakeHeadLine(line);
  return !malformed_ && !rejected_ && !forgotten_ && thrown_ == nullptr;
}

bool client_call::TakeHeadLine(std::string_view line) {
  if (!line.ends_with(kLineEnd)) {
    return false;
  }
  line.remove_suffix(kLineEnd.size());
  if (!std::exchange(in_head_, true)) {
    return StartAnswer(line);
  }
  return line.empty() ? EndHead() : TakeField(line);
}

bool client_call::EndHead() {
  in_head_ = false;
  if (!IsAnswerHead(result_.status, result_.headers)) {
    return false;
  }
  ReportStatus();
  if (!forgotten_ && thrown_ == nullptr) {
    CheckAccepted();
  }
  return true;
}

bool client_call::StartAnswer(std::string_view first_line) {
  result_.headers.clear();
  const auto status = StatusOf(first_line);
  result_.status = status.value_or(0);
  return status.has_value();
}

void client_call::ReportStatus() {
  if (IsInterimStatus(result_.status)) {
    return;
  }
  status_reported_ = true;
  if (!call_.on_status) {
    return;
  }
  // An exception must not pass through libcurl's frames, which are C.
  try {
    call_.on_status(result_.status);
  } catch (...) {
    thrown_ = std::current_exception();
  }
}

void client_call::CheckAccepted() {
  if (!status_reported_ || !call_.accept) {
    return;
  }
  try {
    rejected_ = !call_.accept(result_.headers);
  } catch (...) {
    thrown_ = std::current_exception();
  }
}

bool client_call::TakeField(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  result_.headers.push_back({std::string(line.substr(0, colon)),
                             std::string(Trim(line.substr(colon + 1)))});
  return true;
}

bool client_call::TakeBody(std::string_view data) {
  if (forgotten_) {
    return false;
  }
  body_bytes_ += data.size();
  if (body_bytes_ > call_.max_answer_bytes) {
    too_large_ = true;
    return false;
  }
  if (!call_.on_data || !IsSuccess(result_.status)) {
    result_.body.append(data);
    return true;
  }
  if (call_.on_read && !std::exchange(has_untold_data_, true)) {
    on_first_data_();
  }
  try {
    call_.on_data(data);
  } catch (...) {
    thrown_ = std::current_exception();
  }
  return !forgotten_ && thrown_ == nullptr;
}

void client_call::TellRead() {
  if (std::exchange(has_untold_data_, false) && !forgotten_ &&
      thrown_ == nullptr) {
    call_.on_read();
  }
}

void client_call::Finish(CURLcode code) {
  long request_bytes = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_off_t body_bytes = 0;
  curl_easy_getinfo(easy_.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(easy_.get(), CURLINFO_SIZE_UPLOAD_T, &body_bytes);
  result_.may_have_been_sent = request_bytes > 0 || body_bytes > 0;
  result_.end = Judge(code);
  if (result_.end != call_end::kComplete) {
    result_.detail = error_text_.front() != '\0' ? error_text_.data()
                                                 : curl_easy_strerror(code);
  }
  if (malformed_) {
    result_.detail = "the head of the answer is malformed";
  } else if (code == CURLE_OK && result_.end == call_end::kTruncated) {
    result_.detail = "the answer does not say where it ends";
  }
}

void client_call::Measure(const http_client::traffic_meter& meter) const {
  long request_bytes = 0;  // NOLINT(google-runtime-int): libcurl's type
  curl_off_t body_bytes = 0;
  curl_easy_getinfo(easy_.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(easy_.get(), CURLINFO_SIZE_UPLOAD_T, &body_bytes);
  meter(call_.url, static_cast<std::uint64_t>(request_bytes + body_bytes),
        header_bytes_ + body_bytes_);
}

void client_call::Refuse(std::string reason) {
  result_.end = call_end::kConnectFailed;
  result_.detail = std::move(reason);
}

bool client_call::AnswerLengthIsKnown() const {
  if (call_.method == "HEAD" || HasNoBody(result_.status)) {
    return true;
  }
  return !FindHeader(result_.headers, "Content-Length").empty() ||
         !FindHeader(result_.headers, "Transfer-Encoding").empty();
}

call_end client_call::Judge(CURLcode code) const {
  if (rejected_) {
    return call_end::kRejected;
  }
  if (too_large_) {
    return call_end::kTooLarge;
  }
  switch (code) {
    case CURLE_OK:
      // A body that is ended by the close of its connection looks the same
      // when the endpoint died halfway, so it is never taken for whole.
      return status_reported_ && AnswerLengthIsKnown() ? call_end::kComplete
                                                       : call_end::kTruncated;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return call_end::kConnectFailed;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      // Of the URL, or of an answer whose status libcurl does not take.
      return result_.may_have_been_sent ? call_end::kTruncated
                                        : call_end::kConnectFailed;
    case CURLE_OPERATION_TIMEDOUT:
      return result_.may_have_been_sent ? call_end::kTimedOut
                                        : call_end::kConnectFailed;
    default:
      return call_end::kTruncated;
  }
}

void client_call::Deliver() {
  if (thrown_) {
    std::rethrow_exception(thrown_);
  }
  if (!done_) {
    return;
  }
  const http_client::completion done = std::exchange(done_, nullptr);
  done(std::move(result_));
}

}  // namespace slatestall
