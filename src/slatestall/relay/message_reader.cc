#include "slatestall/relay/message_reader.h"

#include <http_parser.h>

#include <cstdint>
#include <limits>
#include <utility>

#include "slatestall/http/answer_head.h"
#include "slatestall/http/ascii_case.h"
#include "slatestall/http/header_check.h"
#include "slatestall/http/trim.h"

namespace slatestall {
namespace {

constexpr int kStopAfterHead = 1;  ///< To the parser: no body follows.
/// Bytes of framing that each byte of a body may come with: a chunk of one byte
/// has five. Beyond it, and the size of a head, chunks carry nothing but
/// extensions, or a trailer does not end.
constexpr std::size_t kFramingPerByte = 16;
constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();

/// Finds line ends that readers may disagree on, in the bytes of a head.
class line_end_check {
 public:
  /// @returns false at a bare line feed or a folded line.
  bool Take(char c) {
    if (c == '\n' && last_ != '\r') {
      return false;
    }
    if (last_ == '\n' && (c == ' ' || c == '\t')) {
      return false;
    }
    last_ = c;
    return true;
  }

 private:
  char last_ = '\0';
};

}  // namespace

class message_reader::impl {
 public:
  explicit impl(message_kind kind) : kind_(kind) {
    http_parser_settings_init(&settings_);
    settings_.on_url = [](http_parser* p, const char* data, std::size_t size) {
      Self(p).head_.target.append(data, size);
      return 0;
    };
    settings_.on_header_field = [](http_parser* p, const char* data,
                                   std::size_t size) {
      return Self(p).TakeName({data, size});
    };
    settings_.on_header_value = [](http_parser* p, const char* data,
                                   std::size_t size) {
      return Self(p).TakeValue({data, size});
    };
    settings_.on_headers_complete = [](http_parser* p) {
      return Self(p).EndHead();
    };
    settings_.on_body = [](http_parser* p, const char* data, std::size_t size) {
      return Self(p).TakeBodyBytes({data, size});
    };
    settings_.on_message_complete = [](http_parser* p) {
      Self(p).complete_ = true;
      http_parser_pause(p, 1);
      return 0;
    };
    Reset();
  }

  void Reset() {
    http_parser_init(&parser_, kind_ == message_kind::kRequest ? HTTP_REQUEST
                                                               : HTTP_RESPONSE);
    parser_.data = this;
    head_ = {};
    body_.clear();
    line_ends_ = {};
    first_line_.clear();
    first_line_ended_ = false;
    head_bytes_ = 0;
    body_bytes_ = 0;
    taken_bytes_ = 0;
    in_value_ = false;
    head_complete_ = false;
    complete_ = false;
    started_ = false;
    fault_ = read_fault::kNone;
  }

  std::size_t Feed(std::string_view bytes, const message_limits& limits) {
    limits_ = limits;
    if (complete_ || fault_ != read_fault::kNone || bytes.empty()) {
      return 0;
    }
    started_ = true;
    if (!CheckHead(bytes)) {
      return bytes.size();
    }
    const std::size_t taken =
        http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_HEADER_OVERFLOW) {
      fault_ = read_fault::kHeadTooLarge;
    } else if ((error != HPE_OK && error != HPE_PAUSED) ||
               (parser_.upgrade != 0U && !complete_)) {
      Fail(read_fault::kMalformed);
    }
    taken_bytes_ += taken;
    if (FramingIsTooLong()) {
      Fail(read_fault::kBodyTooLarge);
    }
    return taken;
  }

  void FeedEnd() {
    if (complete_ || fault_ != read_fault::kNone || !started_) {
      return;
    }
    http_parser_execute(&parser_, &settings_, nullptr, 0);
    if (!complete_) {
      Fail(read_fault::kCutShort);
    }
  }

  message_kind kind_;
  message_limits limits_;  ///< Of the bytes that are being taken.
  http_parser_settings settings_{};
  http_parser parser_{};
  message_head head_;
  std::string body_;
  line_end_check line_ends_;
  std::string first_line_;  ///< Of an answer.
  bool first_line_ended_ = false;
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  std::size_t taken_bytes_ = 0;  ///< Of the whole message, framing included.
  bool in_value_ = false;
  bool head_complete_ = false;
  bool complete_ = false;
  bool started_ = false;
  bool no_body_ = false;
  read_fault fault_ = read_fault::kNone;

 private:
  static impl& Self(http_parser* parser) {
    return *static_cast<impl*>(parser->data);
  }

  void Fail(read_fault fault) {
    if (fault_ == read_fault::kNone) {
      fault_ = fault;
    }
  }

  /// The parser takes bare line feeds and folded lines; what stands before it
  /// may not, so the head is looked at first.
  bool CheckHead(std::string_view bytes) {
    if (head_complete_) {
      return true;
    }
    for (const char c : bytes) {
      if (!line_ends_.Take(c)) {
        Fail(read_fault::kMalformed);
        return false;
      }
      ++head_bytes_;
      KeepFirstLine(c);
      blank_line_ = c == '\n' ? blank_line_ + 1 : (c == '\r' ? blank_line_ : 0);
      if (blank_line_ == 2) {
        blank_line_ = 0;
        return true;
      }
      if (head_bytes_ > limits_.max_head_bytes) {
        Fail(read_fault::kHeadTooLarge);
        return false;
      }
    }
    return true;
  }

  /// The parser takes statuses of any number of digits.
  void KeepFirstLine(char c) {
    first_line_ended_ = first_line_ended_ || c == '\r' || c == '\n';
    if (kind_ == message_kind::kAnswer && !first_line_ended_) {
      first_line_ += c;
    }
  }

  int TakeName(std::string_view text) {
    if (head_complete_) {
      return 0;  // A trailer; it must not pass for a field of the head.
    }
    if (in_value_ || head_.headers.empty()) {
      head_.headers.emplace_back();
      in_value_ = false;
    }
    head_.headers.back().name.append(text);
    return 0;
  }

  int TakeValue(std::string_view text) {
    if (head_complete_) {
      return 0;
    }
    in_value_ = true;
    head_.headers.back().value.append(text);
    return 0;
  }

  int EndHead() {
    for (auto& header : head_.headers) {
      header.value = std::string(Trim(header.value));
    }
    if (!HeadIsSound()) {
      Fail(read_fault::kMalformed);
      return -1;
    }
    if (LengthIsTooLong()) {
      Fail(read_fault::kBodyTooLarge);
      return -1;
    }
    head_complete_ = true;
    head_.keep_alive = http_should_keep_alive(&parser_) != 0;
    if (kind_ == message_kind::kRequest) {
      head_.method = http_method_str(static_cast<http_method>(parser_.method));
      head_.expects_continue = EqualsIgnoringCase(
          FindHeader(head_.headers, "Expect"), "100-continue");
    } else {
      head_.status = parser_.status_code;
    }
    // An offer to upgrade is passed over; the message is read as any other.
    parser_.upgrade = 0;
    const bool has_no_body =
        kind_ == message_kind::kAnswer && (no_body_ || HasNoBody(head_.status));
    return has_no_body ? kStopAfterHead : 0;
  }

  bool HeadIsSound() const {
    if (kind_ == message_kind::kRequest) {
      return HeadersAreSafe(head_.headers) && FramingIsPlain(head_.headers);
    }
    const auto status = StatusOf(first_line_);
    return status && IsAnswerHead(*status, head_.headers);
  }

  /// Answers only: a caller is told of it while it sends.
  bool LengthIsTooLong() const {
    return kind_ == message_kind::kAnswer && !no_body_ &&
           parser_.content_length != kNoLength &&
           parser_.content_length > limits_.max_body_bytes;
  }

  bool FramingIsTooLong() const {
    return head_complete_ && !complete_ &&
           taken_bytes_ - body_bytes_ > head_bytes_ + limits_.max_head_bytes +
                                            kFramingPerByte * body_bytes_;
  }

  int TakeBodyBytes(std::string_view bytes) {
    body_bytes_ += bytes.size();
    if (body_bytes_ > limits_.max_body_bytes) {
      Fail(read_fault::kBodyTooLarge);
      return -1;
    }
    body_.append(bytes);
    return 0;
  }

  int blank_line_ = 0;
};

message_reader::message_reader(message_kind kind)
    : impl_(std::make_unique<impl>(kind)) {}
message_reader::~message_reader() = default;

std::size_t message_reader::Feed(std::string_view bytes,
                                 const message_limits& limits) {
  return impl_->Feed(bytes, limits);
}
void message_reader::FeedEnd() { impl_->FeedEnd(); }
void message_reader::Reset() { impl_->Reset(); }
void message_reader::ExpectNoBody() { impl_->no_body_ = true; }
bool message_reader::Started() const { return impl_->started_; }
bool message_reader::HeadComplete() const { return impl_->head_complete_; }
bool message_reader::Complete() const { return impl_->complete_; }
read_fault message_reader::Fault() const { return impl_->fault_; }
message_head& message_reader::Head() { return impl_->head_; }
std::string message_reader::TakeBody() {
  return std::exchange(impl_->body_, {});
}

}  // namespace slatestall
