#include "standins/platform/log_front.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "standins/common/json_http.h"

namespace slatestall {
namespace {

constexpr std::uint64_t kMaxWaitMs = 30000;
constexpr std::uint64_t kMaxRecordsPerRead = 1000;

time_point Now() { return std::chrono::steady_clock::now(); }

nlohmann::json ToJson(const log_page& page) {
  nlohmann::json records = nlohmann::json::array();
  for (const auto& record : page.records) {
    records.push_back({{"offset", record.offset}, {"payload", record.payload}});
  }
  return {{"first", page.first}, {"next", page.next}, {"records", records}};
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
  if (request.body.size() > options_.max_record_bytes) {
    SendJson(*responder, 413, {{"error", "the record is too large"}});
    return;
  }
  if (!append_limit_.Take(Now())) {
    ++refused_;
    SendJson(*responder, 429, {{"error", "too many appends"}});
    return;
  }
  const std::uint64_t offset = store_.Append(stream, request.body, Now());
  ++appends_;
  if (faults_.lose_append_answers > 0) {
    --faults_.lose_append_answers;
    responder->Abort();
  } else {
    SendJson(*responder, 200, {{"offset", offset}});
  }
  WakeReaders(stream);
}

void log_front::Read(const std::string& stream, const http_request& request,
                     const http_responder_ptr& responder) {
  auto read = std::make_shared<waiting_read>(context_);
  read->stream = stream;
  read->from = QueryNumber(request.query, "from", 0);
  read->max = std::min(kMaxRecordsPerRead,
                       QueryNumber(request.query, "max", kMaxRecordsPerRead));
  read->responder = responder;
  const auto wait =
      std::min(kMaxWaitMs, QueryNumber(request.query, "wait_ms", 0));
  const bool has_records =
      !store_.Read(stream, read->from, 1, Now()).records.empty();
  if (wait == 0 || has_records) {
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
  const log_page page = store_.Read(read->stream, read->from, read->max, Now());
  SendJson(*read->responder, 200, ToJson(page));
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
