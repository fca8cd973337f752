#include "slatestall/platform/log_client.h"

#include <utility>

#include "slatestall/platform/platform_answers.h"

namespace slatestall {
namespace {

constexpr milliseconds kAppendTimeout{1500};
/// Added to the time that the log itself is asked to wait.
constexpr milliseconds kReadSlack{1500};
constexpr int kRecordsPerRead = 256;
constexpr std::size_t kMaxReadBytes = std::size_t{64} << 20U;

std::string RecordsUrl(const std::string& url, const std::string& stream) {
  return url + "/streams/" + stream + "/records";
}

http_call AppendCall(const std::string& url, const std::string& stream,
                     std::string payload) {
  http_call call;
  call.method = "POST";
  call.url = RecordsUrl(url, stream);
  call.headers.push_back({"Content-Type", "application/octet-stream"});
  call.body = std::move(payload);
  call.timeout = kAppendTimeout;
  call.at_most_once = true;
  return call;
}

http_call ReadCall(const std::string& url, const std::string& stream,
                   log_offset from, milliseconds wait) {
  http_call call;
  call.url = RecordsUrl(url, stream) + "?from=" + std::to_string(from) +
             "&wait_ms=" + std::to_string(wait.count()) +
             "&max=" + std::to_string(kRecordsPerRead);
  call.timeout = wait + kReadSlack;
  call.max_answer_bytes = kMaxReadBytes;
  return call;
}

}  // namespace

log_service MakeLogClient(http_client& client, const std::string& url) {
  log_service service;
  service.append = [&client, url](const std::string& stream,
                                  std::string payload, auto done) {
    client.Start(AppendCall(url, stream, std::move(payload)),
                 [done = std::move(done)](const http_result& result) {
                   done(AppendResultOf(result));
                 });
  };
  service.read = [&client, url](const std::string& stream, log_offset from,
                                milliseconds wait, auto done) {
    client.Start(ReadCall(url, stream, from, wait),
                 [done = std::move(done)](const http_result& result) {
                   done(ReadResultOf(result));
                 });
  };
  return service;
}

}  // namespace slatestall
