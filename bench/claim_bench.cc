// Claims of idempotency keys in simulated time: the real batching code over a
// fake log with fixed delays. Prints appends a second, what a claim adds to a
// request, bytes of messages, and memory per key.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "slatestall/node/claim_messages.h"
#include "slatestall/node/claim_record_codec.h"
#include "slatestall/policy/claim_table.h"
#include "slatestall/policy/claim_writer.h"
#include "slatestall/policy/key_home.h"

namespace slatestall {
namespace {

using clock_type = std::chrono::steady_clock;

constexpr milliseconds kAppendTime{10};
constexpr milliseconds kReadTime{10};
constexpr milliseconds kRunTime{2000};
constexpr std::chrono::seconds kLength{30};
constexpr std::size_t kBodyBytes = 1500;

struct load {
  const char* name;
  double claims_per_second;
  int writers;
  milliseconds flush;
};

struct measured {
  std::uint64_t appends = 0;
  std::uint64_t bytes = 0;
  std::vector<double> waits_ms;
  double cpu_seconds = 0;
};

claim_attempt AttemptNumber(std::uint64_t number) {
  return {{"shop-" + std::to_string(number % 360),
           "7f9c24e5-2b1d-4c66-9a55-" + std::to_string(100000000000 + number)},
          StableHash(std::to_string(number)),
          "entry-" + std::to_string(number % 390) + ".0123456789abcdef.0-" +
              std::to_string(number),
          {"entry-" + std::to_string(number % 390), 0x0123456789abcdef}};
}

claim_ending EndingOf(const claim_attempt& attempt) {
  const auto outcome = std::make_shared<const claim_outcome>(
      claim_outcome{200, "application/json", std::string(kBodyBytes, 'x')});
  return {attempt.key, attempt.body_hash, attempt.request, false, outcome};
}

/// One writer with its own stream; events in simulated time.
class simulated_writer {
 public:
  simulated_writer(milliseconds flush, measured& into) : into_(into) {
    claim_writer_options options;
    options.flush_interval = flush;
    options.table.max_keys = 2'000'000;
    writer_ = std::make_unique<claim_writer>(options);
    writer_->Read(0, 0, {});
  }

  using schedule = std::function<void(time_point, std::function<void()>)>;

  void Submit(const claim_attempt& attempt, time_point now,
              const schedule& at) {
    submitted_[attempt.request] = {attempt, now};
    writer_->Submit(attempt, now + std::chrono::seconds{3});
    Pump(now, at);
  }

  void Pump(time_point now, const schedule& at) {
    auto batch = writer_->NextAppend(now);
    if (!batch) {
      return;
    }
    const std::string payload = EncodeClaims(*batch);
    ++into_.appends;
    into_.bytes += payload.size();
    at(now + kAppendTime, [this, payload, now, at] {
      const time_point appended = now + kAppendTime;
      writer_->ReadBegins();
      writer_->Appended(claim_append::kAppended, next_, appended);
      at(appended + kReadTime, [this, payload, appended, at] {
        Read(payload, appended + kReadTime, at);
      });
    });
  }

 private:
  void Read(const std::string& payload, time_point now, const schedule& at) {
    const std::uint64_t position = next_++;
    writer_->Read(0, next_, {{position, *DecodeClaims(payload)}});
    for (const auto& settled : writer_->TakeAnswers(now)) {
      const auto found = submitted_.find(settled.request);
      const std::chrono::duration<double, std::milli> wait =
          now - found->second.second;
      into_.waits_ms.push_back(wait.count());
      const claim_attempt attempt = found->second.first;
      submitted_.erase(found);
      at(now + kRunTime, [this, attempt, now, at] {
        writer_->SubmitEnd(EndingOf(attempt), now + kRunTime);
        Pump(now + kRunTime, at);
      });
    }
    writer_->TakeStored();
    Pump(now, at);
  }

  std::unique_ptr<claim_writer> writer_;
  measured& into_;
  std::map<std::string, std::pair<claim_attempt, time_point>> submitted_;
  std::uint64_t next_ = 0;
};

measured Simulate(const load& run) {
  measured result;
  std::mt19937_64 random(20261202);
  std::exponential_distribution<double> gap(run.claims_per_second);
  std::vector<std::unique_ptr<simulated_writer>> writers;
  writers.reserve(static_cast<std::size_t>(run.writers));
  for (int number = 0; number < run.writers; ++number) {
    writers.push_back(std::make_unique<simulated_writer>(run.flush, result));
  }
  std::multimap<time_point, std::function<void()>> events;
  const simulated_writer::schedule at = [&events](time_point when,
                                                  std::function<void()> event) {
    events.emplace(when, std::move(event));
  };
  const time_point start{std::chrono::hours{1}};
  const time_point end = start + kLength;
  std::uint64_t number = 0;
  std::function<void(time_point)> arrive = [&](time_point now) {
    auto& writer = *writers[random() % writers.size()];
    writer.Submit(AttemptNumber(number++), now, at);
    const auto next = now + std::chrono::duration_cast<duration>(
                                std::chrono::duration<double>(gap(random)));
    at(next, [&arrive, next] { arrive(next); });
  };
  // As the service does: look every 10 ms for what is due.
  std::function<void(time_point)> tick = [&](time_point now) {
    for (const auto& writer : writers) {
      writer->Pump(now, at);
    }
    const time_point next = now + milliseconds{10};
    at(next, [&tick, next] { tick(next); });
  };
  arrive(start);
  tick(start);
  const auto cpu_start = clock_type::now();
  while (!events.empty() && events.begin()->first < end) {
    const auto event = events.extract(events.begin());
    event.mapped()();
  }
  result.cpu_seconds =
      std::chrono::duration<double>(clock_type::now() - cpu_start).count();
  return result;
}

double Quantile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      part * static_cast<double>(values.size() - 1))];
}

void PrintAppends() {
  std::printf("%-44s %8s %8s %9s %9s %9s %9s %8s\n", "keys claimed in the log",
              "claims/s", "writers", "appends/s", "KB/append", "p50 ms",
              "p95 ms", "us/claim");
  const milliseconds fifty{50};
  for (const load& run :
       {load{"every host its own writer, all keyed", 1800, 390, fifty},
        load{"every host its own writer, 1 in 10", 180, 390, fifty},
        load{"writer a partition, 1 in 10 by callers", 180, 8, fifty},
        load{"writer a partition, 1 in 10 by callers", 180, 16, fifty},
        load{"writer a partition, 1 in 10 by callers", 180, 64, fifty},
        load{"writer a partition, 1 in 10, flush 250 ms", 180, 64,
             milliseconds{250}},
        load{"writer a partition, half by callers", 900, 8, fifty},
        load{"writer a partition, all by callers", 1800, 8, fifty},
        load{"today, a keyed request a second", 1, 8, fifty}}) {
    const measured result = Simulate(run);
    const double seconds = std::chrono::duration<double>(kLength).count();
    const auto claims = static_cast<double>(result.waits_ms.size());
    std::printf("%-44s %8.0f %8d %9.1f %9.1f %9.1f %9.1f %8.1f\n", run.name,
                run.claims_per_second, run.writers,
                static_cast<double>(result.appends) / seconds,
                static_cast<double>(result.bytes) / 1024 /
                    static_cast<double>(result.appends),
                Quantile(result.waits_ms, 0.5), Quantile(result.waits_ms, 0.95),
                result.cpu_seconds * 1e6 / claims);
  }
}

std::size_t HeapInUse() { return mallinfo2().uordblks; }

void PrintMemory() {
  constexpr std::uint64_t kKeys = 200'000;
  for (const bool ended : {false, true}) {
    const std::size_t before = HeapInUse();
    claim_table table({kKeys, std::size_t{0}});
    for (std::uint64_t number = 0; number < kKeys; ++number) {
      const claim_attempt attempt = AttemptNumber(number);
      table.Claim(attempt, number);
      if (ended) {
        table.End(
            {attempt.key, attempt.body_hash, attempt.request, false, nullptr},
            number);
      }
    }
    std::printf("memory of a %s key without its outcome: %zu bytes\n",
                ended ? "ended" : "held", (HeapInUse() - before) / kKeys);
  }
}

template <typename Message>
std::size_t FrameBytes(Message message) {
  wire::frameT frame;
  frame.call = 1;
  frame.body.Set(std::move(message));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::frame::Pack(builder, &frame));
  return builder.GetSize();
}

void PrintMessages() {
  const claim_attempt attempt = AttemptNumber(1);
  claim_answer won;
  won.result = claim_result::kWon;
  won.holder = attempt.holder;
  wire::claim_end_replyT stored;
  stored.stored = true;
  const std::size_t claim = FrameBytes(ToMessage(attempt, milliseconds{1000})) +
                            FrameBytes(ToMessage(won));
  const std::size_t end =
      FrameBytes(ToMessage(EndingOf(attempt))) + FrameBytes(stored);
  std::printf(
      "messages of a keyed request: claim %zu bytes, ending with %zu body "
      "bytes %zu bytes\n",
      claim, kBodyBytes, end);
  const double keyed_per_host = 5400.0 / 3 / 390;
  std::printf(
      "a host sends and receives, at %.1f keyed requests a second: %.1f KB/s "
      "each way without bodies, %.1f KB/s with them\n",
      keyed_per_host,
      keyed_per_host * static_cast<double>(claim + end - kBodyBytes) / 1024,
      keyed_per_host * static_cast<double>(claim + end) / 1024);
}

void PrintHome() {
  constexpr std::uint64_t kRequests = 200'000;
  key_home home({"entry-1", 77}, 99, std::chrono::hours{12}, {kRequests, 0});
  const time_point now{std::chrono::hours{1}};
  const std::size_t before = HeapInUse();
  const auto start = clock_type::now();
  for (std::uint64_t number = 0; number < kRequests; ++number) {
    claim_attempt attempt = AttemptNumber(number);
    attempt.key.key = home.Mint(attempt.key.workspace, now);
    home.Claim(attempt, now);
    home.End({attempt.key, 0, attempt.request, false, nullptr});
  }
  const std::chrono::duration<double, std::micro> spent =
      clock_type::now() - start;
  std::printf(
      "minted key: mint, claim and end take %.2f us at its home and %zu "
      "bytes\n",
      spent.count() / kRequests, (HeapInUse() - before) / kRequests);
}

}  // namespace
}  // namespace slatestall

int main() {
  slatestall::PrintAppends();
  slatestall::PrintMemory();
  slatestall::PrintHome();
  slatestall::PrintMessages();
  return 0;
}
