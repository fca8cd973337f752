// Processor time of the gateway's choices, by the number of endpoints and of
// waiting pieces, for docs/CAPACITY.md.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "slatestall/dispatch/endpoint_pick.h"
#include "slatestall/dispatch/piece_queue.h"
#include "slatestall/dispatch/stage_admission.h"

namespace {

using namespace slatestall;  // NOLINT(google-build-using-namespace)

constexpr std::size_t kDomains = 20;
constexpr milliseconds kFullCall{278};

time_point Start() { return time_point(std::chrono::hours(1)); }

/// Every fourth endpoint has told its load in the last second, and a few have
/// calls of this host.
std::vector<endpoint_record_ptr> Endpoints(std::size_t count) {
  std::vector<endpoint_record_ptr> endpoints;
  for (std::size_t i = 0; i < count; ++i) {
    known_endpoint info;
    info.id = "i-" + std::to_string(7919 * i + 1000003);
    info.service = "engines";
    info.failure_domain = "d" + std::to_string(i % kDomains);
    info.slots = 64;
    auto record = std::make_shared<endpoint_record>(info);
    if (i % 4 == 0) {
      told_load load;
      load.running = static_cast<std::uint32_t>(i % 60);
      load.slots = info.slots;
      load.at = Start() - milliseconds(i % 1000);
      record->NoteLoad(load);
    }
    if (i % 16 == 0) {
      record->NoteStart();
    }
    endpoints.push_back(std::move(record));
  }
  return endpoints;
}

void PickOne(benchmark::State& state) {
  const auto endpoints = Endpoints(static_cast<std::size_t>(state.range(0)));
  const bool has_prompt = state.range(1) != 0;
  pick_request request;
  request.near = "d3";
  std::uint64_t number = 0;
  for (auto _ : state) {
    request.now = Start() + std::chrono::microseconds(++number);
    request.shared_prompt = has_prompt ? number % 300 + 1 : 0;
    benchmark::DoNotOptimize(PickEndpoint(endpoints, request));
  }
}
BENCHMARK(PickOne)
    ->ArgNames({"endpoints", "prompt"})
    ->Args({18, 1})
    ->Args({140, 1})
    ->Args({140, 0})
    ->Args({1300, 1})
    ->Args({1300, 0});

piece_group_ptr Group(std::uint64_t number) {
  auto group = std::make_shared<piece_group>();
  group->request = "r" + std::to_string(number);
  group->pieces = 16;
  group->useful_by = Start() + milliseconds(500 + number * 37 % 900);
  group->worthless_after = Start() + milliseconds(4000);
  group->near = "d" + std::to_string(number % kDomains);
  return group;
}

/// A batch is taken and as many pieces come anew.
void TakeBatch(benchmark::State& state) {
  const auto waiting = static_cast<std::uint64_t>(state.range(0));
  piece_queue queue;
  std::uint64_t number = 0;
  for (; number * 16 < waiting; ++number) {
    queue.Add(Group(number), Start(), kFullCall);
  }
  batch_terms terms;
  terms.now = Start();
  terms.call_time = milliseconds(250);
  terms.most = 96;
  terms.domain = "d3";
  terms.room = std::uint64_t{1} << 30U;
  terms.has_endpoint = [](const std::string&) { return true; };
  for (auto _ : state) {
    const auto batch = queue.Take(terms);
    for (std::size_t i = 0; i < batch.pieces.size(); i += 16) {
      queue.Add(Group(++number), Start(), kFullCall);
    }
  }
}
BENCHMARK(TakeBatch)->ArgName("waiting")->Arg(96)->Arg(960)->Arg(4800);

void BookOne(benchmark::State& state) {
  stage_admission admission;
  stage_capacity capacity;
  capacity.calls = 1e6;
  capacity.call_time = milliseconds(250);
  std::uint64_t number = 0;
  for (auto _ : state) {
    const time_point now = Start() + std::chrono::microseconds(200 * ++number);
    stage_booking booking;
    booking.request = "r" + std::to_string(number);
    booking.pieces = 16;
    booking.work = milliseconds(16);
    booking.due = now;
    booking.useful_by = now + milliseconds(1000);
    booking.worthless_after = now + milliseconds(4000);
    benchmark::DoNotOptimize(admission.Book(booking, capacity, {}, now));
  }
}
BENCHMARK(BookOne);

/// A booking that is ranked before all that are held, so that the effect on
/// each of them is examined. It may take 20 microseconds with 1,000 held.
void BookBeforeHeld(benchmark::State& state) {
  stage_admission admission;
  stage_capacity capacity;
  capacity.calls = 1e6;
  capacity.call_time = milliseconds(250);
  const time_point now{std::chrono::hours(1)};
  stage_booking booking;
  booking.pieces = 16;
  booking.work = milliseconds(16);
  for (int number = 0; number < state.range(0); ++number) {
    booking.request = "held" + std::to_string(number);
    booking.kind = static_cast<std::uint64_t>(number % 3);
    booking.due = now + milliseconds(number * 7 % 1000);
    booking.useful_by = booking.due + milliseconds(1500);
    booking.worthless_after = now + milliseconds(4000);
    admission.Book(booking, capacity, {}, now);
  }
  booking.request = "next";
  booking.due = now + milliseconds(300);
  booking.useful_by = now + milliseconds(1000);
  for (auto _ : state) {
    benchmark::DoNotOptimize(admission.Book(booking, capacity, {}, now));
    admission.Release(booking.request, booking.stage);
  }
}
BENCHMARK(BookBeforeHeld)->ArgName("held")->Arg(100)->Arg(1000);

}  // namespace

BENCHMARK_MAIN();
