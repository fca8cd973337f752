#include "standins/platform/log_front.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/common/json_http.h"

namespace slatestall {
namespace {

constexpr std::uint64_t kMaxWaitMs = 30000;
constexpr std::uint64_t kDefaultReadKb = 1024;
constexpr std::size_t kMaxRecordsPerRead = 1000;
constexpr std::size_t kOffsetBytes = 8;
constexpr std::size_t kLengthBytes = 4;
constexpr int kOk = 200;
constexpr int kMoved = 410;

time_point Now() { return std::chrono::steady_clock::now(); }

void AppendBigEndian(std::string& bytes, std::uint64_t value,
                     std::size_t size) {
  for (std::size_t i = size; i-- > 0;) {
    bytes += static_cast<char>(value >> (8 * i) & 0xffU);
  }
}

std::uint64_t BigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = value << 8U | static_cast<unsigned char>(byte);
  }
  return value;
}

/// Records of an append, each with its length in front.
std::vector<std::string> RecordsOf(std::string_view body) {
  std::vector<std::string> records;
  while (!body.empty()) {
    const auto length = BigEndian(body.substr(0, kLengthBytes));
    if (body.size() < kLengthBytes || length > body.size() - kLengthBytes) {
      throw std::invalid_argument("a record is cut short");
    }
    records.emplace_back(
        body.substr(kLengthBytes, static_cast<std::size_t>(length)));
    body.remove_prefix(kLengthBytes + static_cast<std::size_t>(length));
  }
  return records;
}

/// The end and the first offset kept, then the records: one at least, more
/// while they fit.
std::string BodyOf(const log_page& page, std::size_t max_bytes) {
  std::string body;
  AppendBigEndian(body, page.next, kOffsetBytes);
  AppendBigEndian(body, page.first, kOffsetBytes);
  const std::size_t head = body.size();
  for (const auto& record : page.records) {
    const bool fits = body.size() + record.payload.size() <= max_bytes;
    if (body.size() > head && !fits) {
      break;
    }
    AppendBigEndian(body, record.payload.size(), kLengthBytes);
    body += record.payload;
  }
  return body;
}

}  // namespace

log_front::log_front(asio::io_context& context,
                     const log_front_options& options, platform_faults& faults)
    : context_(context),
      options_(options),
      faults_(faults),
      store_(options.retention),
      append_limit_(options.appends_per_second) {}

void log_front::Append(const std::string& stream, const http_request& request,
                       const http_responder_ptr& responder) {
  const auto records = RecordsOf(request.body);
  const bool too_large =
      std::any_of(records.begin(), records.end(), [this](const auto& record) {
        return record.size() > options_.max_record_bytes;
      });
  if (too_large) {
    SendJson(*responder, 413, {{"error", "the record is too large"}});
    return;
  }
  if (!append_limit_.Take(Now())) {
    ++refused_;
    SendJson(*responder, 429, {{"error", "too many appends"}});
    return;
  }
  const std::uint64_t offset = store_.End(stream);
  for (const auto& record : records) {
    store_.Append(stream, record, Now());
  }
  ++appends_;
  if (faults_.lose_append_answers > 0) {
    --faults_.lose_append_answers;
    responder->Abort();
  } else {
    SendJson(*responder, kOk,
             {{"offset", offset}, {"end", offset + records.size()}},
             EraHeader());
  }
  WakeReaders(stream);
}

void log_front::Read(const std::string& stream, const http_request& request,
                     const http_responder_ptr& responder) {
  auto read = std::make_shared<waiting_read>(context_);
  read->stream = stream;
  read->from = QueryNumber(request.query, "from", 0);
  read->max_bytes = static_cast<std::size_t>(
                        QueryNumber(request.query, "maxKb", kDefaultReadKb))
                    << 10U;
  read->responder = responder;
  const auto wait =
      std::min(kMaxWaitMs, QueryNumber(request.query, "waitMs", 0));
  const auto page = store_.Read(stream, read->from, 1, Now());
  const bool answers_now = !page.records.empty() || read->from < page.first ||
                           read->from > page.next;
  if (wait == 0 || answers_now) {
    Answer(read);
    return;
  }
  Wait(read, milliseconds(wait));
}

void log_front::Wait(const waiting_read_ptr& read, milliseconds limit) {
  waiting_.push_back(read);
  read->timer.expires_after(limit);
  read->timer.async_wait([this, read](const std::error_code& error) {
    if (!error && !read->over) {
      waiting_.remove(read);
      Answer(read);
    }
  });
  read->responder->OnClosed([this, weak = std::weak_ptr(read)] {
    const auto closed = weak.lock();
    if (closed && !closed->over) {
      closed->over = true;
      closed->timer.cancel();
      waiting_.remove(closed);
    }
  });
}

void log_front::Answer(const waiting_read_ptr& read) {
  read->over = true;
  read->timer.cancel();
  const log_page page =
      store_.Read(read->stream, read->from, kMaxRecordsPerRead, Now());
  if (read->from < page.first || read->from > page.next) {
    SendJson(*read->responder, kMoved, {{"first", page.first}}, EraHeader());
    return;
  }
  auto headers = EraHeader();
  headers.push_back({"Content-Type", "application/octet-stream"});
  read->responder->Send(kOk, headers, BodyOf(page, read->max_bytes));
}

void log_front::WakeReaders(const std::string& stream) {
  std::list<waiting_read_ptr> ready;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const auto current = it++;
    if ((*current)->stream == stream) {
      ready.splice(ready.end(), waiting_, current);
    }
  }
  for (const auto& read : ready) {
    Answer(read);
  }
}

http_headers log_front::EraHeader() const {
  return {{"Store-Era", std::to_string(store_.Era())}};
}

void log_front::Restore(milliseconds age) {
  store_.Restore(age, Now());
  for (const auto& read : std::exchange(waiting_, {})) {
    Answer(read);
  }
}

void log_front::FaultsChanged() {
  if (!faults_.reads_down) {
    return;
  }
  std::list<waiting_read_ptr> cut;
  cut.swap(waiting_);
  for (const auto& read : cut) {
    read->over = true;
    read->timer.cancel();
    read->responder->Abort();
  }
}

}  // namespace slatestall
