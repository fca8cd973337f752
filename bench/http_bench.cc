// Calls and streamed bytes through the HTTP server and client together, on
// one event loop and so on one core.
#include <benchmark/benchmark.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "slatestall/http/http_client.h"
#include "slatestall/http/http_server.h"

namespace slatestall {
namespace {

constexpr std::size_t kBodyBytes = 1024;
constexpr std::size_t kPieceBytes = std::size_t{64} << 10U;
constexpr int kPieces = 64;
constexpr std::size_t kEventBytes = 100;
constexpr int kEvents = 256;

/// Keeps a number of calls in flight until the benchmark has run its count.
class call_run {
 public:
  call_run(benchmark::State& state, asio::io_context& context,
           http_handler handler)
      : state_(state),
        context_(context),
        server_(context, {}, std::move(handler)),
        client_(context) {}

  void Run(const http_call& call, std::int64_t in_flight) {
    call_ = call;
    call_.url = "http://127.0.0.1:" + std::to_string(server_.Port()) + "/";
    for (auto _ : state_) {
      ++wanted_;
      while (started_ - ended_ >= in_flight || started_ < wanted_) {
        if (started_ - ended_ < in_flight) {
          Start();
          continue;
        }
        context_.run_one();
      }
    }
    while (ended_ < started_) {
      context_.run_one();
    }
    if (failed_ != 0) {
      state_.SkipWithError("calls failed");
    }
    state_.SetItemsProcessed(state_.iterations());
  }

 private:
  void Start() {
    ++started_;
    client_.Start(call_, [this](const http_result& result) {
      ++ended_;
      failed_ += result.end == call_end::kComplete ? 0 : 1;
    });
  }

  benchmark::State& state_;
  asio::io_context& context_;
  http_server server_;
  http_client client_;
  http_call call_;
  std::int64_t wanted_ = 0;
  std::int64_t started_ = 0;
  std::int64_t ended_ = 0;
  std::int64_t failed_ = 0;
};

void Calls(benchmark::State& state) {
  asio::io_context context;
  call_run run(
      state, context,
      [](const http_request& request, const http_responder_ptr& responder) {
        responder->Send(200, {{"Content-Type", "application/json"}},
                        request.body);
      });
  http_call call;
  call.method = "POST";
  call.body = std::string(kBodyBytes, 'b');
  call.at_most_once = state.range(1) != 0;
  run.Run(call, state.range(0));
}
BENCHMARK(Calls)
    ->ArgNames({"in_flight", "at_most_once"})
    ->Args({1, 0})
    ->Args({32, 0})
    ->Args({256, 0})
    ->Args({32, 1})
    ->Iterations(10'000);

/// Writes one event a turn of the event loop, as they come from an engine.
void WriteEvents(asio::io_context& context, const http_responder_ptr& responder,
                 int left) {
  if (left == 0) {
    responder->Finish();
    return;
  }
  responder->Write(std::string(kEventBytes, 'e'));
  asio::post(context, [&context, responder, left] {
    WriteEvents(context, responder, left - 1);
  });
}

void StreamedEvents(benchmark::State& state) {
  asio::io_context context;
  call_run run(state, context,
               [&](const http_request&, const http_responder_ptr& responder) {
                 responder->StartStream(200, {});
                 WriteEvents(context, responder, kEvents);
               });
  http_call call;
  call.on_data = [](std::string_view data) { benchmark::DoNotOptimize(data); };
  run.Run(call, state.range(0));
  state.SetItemsProcessed(state.iterations() * kEvents);
}
BENCHMARK(StreamedEvents)
    ->ArgName("in_flight")
    ->Arg(1)
    ->Arg(64)
    ->Iterations(2000);

void StreamedBytes(benchmark::State& state) {
  asio::io_context context;
  call_run run(state, context,
               [](const http_request&, const http_responder_ptr& responder) {
                 responder->StartStream(200, {});
                 for (int i = 0; i < kPieces; ++i) {
                   responder->Write(std::string(kPieceBytes, 's'));
                 }
                 responder->Finish();
               });
  http_call call;
  call.on_data = [](std::string_view data) { benchmark::DoNotOptimize(data); };
  run.Run(call, state.range(0));
  state.SetBytesProcessed(state.iterations() *
                          static_cast<std::int64_t>(kPieceBytes * kPieces));
}
BENCHMARK(StreamedBytes)
    ->ArgName("in_flight")
    ->Arg(1)
    ->Arg(16)
    ->Iterations(800);

}  // namespace
}  // namespace slatestall

BENCHMARK_MAIN();
