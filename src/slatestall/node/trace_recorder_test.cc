#include "slatestall/node/trace_recorder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <stdexcept>

#include "slatestall/config/pipeline_file.h"
#include "slatestall/policy/trace.h"

namespace slatestall {
namespace {

constexpr std::size_t kThreads = 4;
constexpr std::size_t kRequests = 500;

const char* const kFile =
    "services:\n"
    "  encoders: {kind: encoder, from: host-list}\n"
    "  engines: {kind: engine, from: host-list}\n"
    "models:\n"
    "  m: {version: 1}\n"
    "pipelines:\n"
    "  reply:\n"
    "    stages:\n"
    "      - {name: encode, service: encoders}\n"
    "      - {name: again, service: encoders}\n"
    "      - {name: write, service: engines, model: m, max_tokens: 8}\n"
    "workspaces:\n"
    "  ws: {routes: [reply]}\n";

class trace_recorder_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(trace_recorder_test);
  CPPUNIT_TEST(TakesRequestsFromAllTrafficThreads);
  CPPUNIT_TEST(AFileThatCannotBeOpenedIsSaidAtOnce);
  CPPUNIT_TEST_SUITE_END();

  settings options_;
  snapshot_cell snapshots_;

  static time_point Now() { return std::chrono::steady_clock::now(); }

  void PublishConfiguration() {
    auto accepted = std::make_shared<accepted_configuration>();
    accepted->revision = 1;
    accepted->source = kFile;
    accepted->content = ParseConfiguration(kFile, "f").content;
    auto snapshot = std::make_shared<control_snapshot>();
    snapshot->configuration = accepted;
    snapshots_.Publish(std::move(snapshot));
  }

  static request_trace_ptr Request() {
    auto request = std::make_shared<request_trace>();
    request->workspace = "ws";
    request->pipeline = "reply";
    request->deadline = milliseconds(6000);
    request->answered_in_full = true;
    return request;
  }

  static void NoteFromAllThreads(trace_recorder& recorder) {
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (std::size_t i = 0; i < kThreads; ++i) {
      threads.emplace_back([&recorder] {
        for (std::size_t number = 0; number < kRequests; ++number) {
          recorder.Note(Request());
        }
      });
    }
    for (std::thread& each : threads) {
      each.join();
    }
  }

 public:
  void setUp() override {
    options_.host_name = "entry-1";
    options_.failure_domain = "a";
    options_.record_path =
        (std::filesystem::temp_directory_path() /
         ("trace_recorder_test." + std::to_string(getpid()) + ".jsonl"))
            .string();
  }

  void tearDown() override { std::filesystem::remove(options_.record_path); }

  // All that ended before the recorder did is in the file, whichever thread
  // it came from, also what its thread had not yet taken.
  void TakesRequestsFromAllTrafficThreads() {
    PublishConfiguration();
    {
      trace_recorder recorder(options_, snapshots_, Now);
      while (recorder.Metrics().find("slatestall_recording 1") ==
             std::string::npos) {
        std::this_thread::yield();
      }
      NoteFromAllThreads(recorder);
    }
    std::ifstream file(options_.record_path);
    const trace read = ReadTrace(file);
    CPPUNIT_ASSERT_EQUAL(kThreads * kRequests, read.arrivals.size());
  }

  void AFileThatCannotBeOpenedIsSaidAtOnce() {
    options_.record_path = "/no/such/folder/trace.jsonl";
    CPPUNIT_ASSERT_THROW(trace_recorder(options_, snapshots_, Now),
                         std::runtime_error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_recorder_test);

}  // namespace
}  // namespace slatestall
