#include "slatestall/node/outcome_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace slatestall {
namespace {

constexpr int kThreads = 4;
constexpr int kRequestsPerThread = 50;

time_point Now() { return std::chrono::steady_clock::now(); }

outcome_peers NoPeers() {
  outcome_peers peers;
  peers.call = [](const std::string&, const wire::messageUnion&, milliseconds,
                  const auto& done) { done({}); };
  peers.handle = [](wire::message, const peer_node::call_handler&) {};
  peers.live_hosts = [] { return std::vector<std::string>{"e1"}; };
  peers.presence = [](const host_id&) { return host_presence::kLive; };
  peers.successor = [](const host_id&) { return std::nullopt; };
  return peers;
}

log_service NoLog() {
  log_service log;
  log.append = [](const std::string&, const std::string&, const auto&) {};
  log.read = [](const std::string&, log_offset, milliseconds, const auto&) {};
  return log;
}

/// The service on its own control thread, as the node runs it.
class outcome_service_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(outcome_service_test);
  CPPUNIT_TEST(ManyThreadsRunOneKeyOnce);
  CPPUNIT_TEST(StopsWhileThreadsStillAsk);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Four traffic threads bring the same keys at the same time. Of each key one
  // sending runs; the others are given its outcome.
  void ManyThreadsRunOneKeyOnce() {
    control_thread control;
    outcome_guard guard = control.Guard();
    std::vector<std::string> keys;
    keys.reserve(kRequestsPerThread);
    for (int number = 0; number < kRequestsPerThread; ++number) {
      keys.push_back(guard.mint_key("shop"));
    }
    std::atomic<int> runs = 0;
    std::atomic<int> replays = 0;
    Threads([&](int thread) {
      for (int number = 0; number < kRequestsPerThread; ++number) {
        const auto request = RequestFor(keys[number], thread, number);
        const claim_decision decision = BeginAndWait(guard, request);
        if (decision.verdict == claim_verdict::kAnswered) {
          ++replays;
          CPPUNIT_ASSERT_EQUAL(keys[number], decision.outcome.body);
        } else if (guard.may_dispatch(request)) {
          ++runs;
          guard.finish(request, {200, "text/plain", request.key});
          CPPUNIT_ASSERT(!guard.may_dispatch(request));
        }
      }
    });
    CPPUNIT_ASSERT_EQUAL(kRequestsPerThread, runs.load());
    CPPUNIT_ASSERT_EQUAL(kRequestsPerThread * (kThreads - 1), replays.load());
  }

  // The service ends while traffic threads still bring requests. Each gets
  // one answer, from before or after the end.
  void StopsWhileThreadsStillAsk() {
    auto control = std::make_unique<control_thread>();
    outcome_guard guard = control->Guard();
    std::atomic<int> answers = 0;
    std::thread stopper([&control] { control.reset(); });
    Threads([&](int thread) {
      for (int number = 0; number < kRequestsPerThread; ++number) {
        const auto request = RequestFor("h1.e1.7.0.x", thread, number);
        BeginAndWait(guard, request);
        ++answers;
      }
    });
    stopper.join();
    CPPUNIT_ASSERT_EQUAL(kThreads * kRequestsPerThread, answers.load());
  }

 private:
  class control_thread {
   public:
    control_thread()
        : work_(asio::make_work_guard(context_)),
          service_(std::make_unique<outcome_service>(context_, host_id{"e1", 7},
                                                     outcome_options{}, NoLog(),
                                                     NoPeers(), Now)),
          thread_([this] { context_.run(); }) {}
    ~control_thread() {
      asio::post(context_, [this] {
        service_.reset();
        work_.reset();
      });
      thread_.join();
    }
    outcome_guard Guard() { return service_->Guard(); }

   private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::unique_ptr<outcome_service> service_;
    std::thread thread_;
  };

  static keyed_request RequestFor(const std::string& key, int thread,
                                  int number) {
    keyed_request request;
    request.workspace = "shop";
    request.key = key;
    request.body_hash = 7;
    request.id.text =
        "e1.7." + std::to_string(thread) + "-" + std::to_string(number);
    request.deadline = Now() + std::chrono::seconds{20};
    return request;
  }

  static claim_decision BeginAndWait(const outcome_guard& guard,
                                     const keyed_request& request) {
    auto answer = std::make_shared<std::promise<claim_decision>>();
    guard.begin(request, [answer](const claim_decision& decision) {
      answer->set_value(decision);
    });
    return answer->get_future().get();
  }

  template <typename Work>
  static void Threads(Work work) {
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int number = 0; number < kThreads; ++number) {
      threads.emplace_back([work, number] { work(number); });
    }
    for (auto& thread : threads) {
      thread.join();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(outcome_service_test);

}  // namespace
}  // namespace slatestall
