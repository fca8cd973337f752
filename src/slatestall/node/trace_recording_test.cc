#include "slatestall/node/trace_recording.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <sstream>

#include "slatestall/config/pipeline_file.h"
#include "slatestall/policy/replay.h"

namespace slatestall {
namespace {

const char* const kFile =
    "services:\n"
    "  encoders: {kind: encoder, from: host-list}\n"
    "  letters: {kind: plain, from: host-list, repeatable: false}\n"
    "  engines: {kind: engine, from: host-list, slots: 2}\n"
    "models:\n"
    "  m: {version: 1}\n"
    "pipelines:\n"
    "  reply:\n"
    "    deadline: 1s\n"
    "    stages:\n"
    "      - {name: encode, service: encoders}\n"
    "      - {name: again, service: encoders}\n"
    "      - {name: write, service: engines, model: m, max_tokens: 8}\n"
    "workspaces:\n"
    "  ws:\n"
    "    key_hashes:\n"
    "      - "
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n"
    "      - "
    "60303ae22b998861bce3b28f33eec1be758a213c86c93c076dbe9f558c11c752\n"
    "    routes: [reply, letters]\n";

constexpr std::uint64_t kEnough = 1 << 20;
const time_point kStart{std::chrono::hours(3)};

endpoint_view Endpoint(const std::string& address) {
  endpoint_view seen;
  seen.where = {address, "a"};
  seen.load.slots = 2;
  seen.load.models = {"m@1"};
  seen.load.received = kStart;
  return seen;
}

control_snapshot Snapshot() {
  auto accepted = std::make_shared<accepted_configuration>();
  accepted->revision = 7;
  accepted->source = kFile;
  accepted->content = ParseConfiguration(kFile, "f").content;
  control_snapshot snapshot;
  snapshot.configuration = accepted;
  for (const auto& [name, service] : accepted->content.services) {
    snapshot.services[name] = {service, {Endpoint(name + "-1")}};
  }
  snapshot.live_hosts = 2;
  return snapshot;
}

request_trace Answered() {
  request_trace request;
  request.id = "entry-1.9.0-1";
  request.workspace = "ws";
  request.pipeline = "reply";
  request.deadline = milliseconds(1000);
  request.total = milliseconds(90);
  request.answered_in_full = true;
  for (const char* stage : {"encode", "again", "write"}) {
    stage_usage usage{"ws", "reply", stage};
    usage.endpoint_time = milliseconds(30);
    usage.generated_tokens = 4;
    request.usages.push_back(usage);
  }
  return request;
}

request_trace Ended(error_kind error) {
  request_trace request = Answered();
  request.answered_in_full = false;
  request.error = error;
  request.usages.clear();
  return request;
}

decision_note Attempt(const std::string& endpoint, const std::string& what) {
  return {milliseconds(1), "write", "", endpoint, what, ""};
}

class trace_recording_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(trace_recording_test);
  CPPUNIT_TEST(AReplayCountsWhatTheHostCounted);
  CPPUNIT_TEST(TakesOnlyRequestsThatAReplayCanRun);
  CPPUNIT_TEST(AStageThatDidNotRunTakesItsUsualTime);
  CPPUNIT_TEST(StopsAtItsSizeAndStaysReadable);
  CPPUNIT_TEST(AFileThatTakesNoMoreEndsTheRecording);
  CPPUNIT_TEST(FaultsHaveTheirTimes);
  CPPUNIT_TEST(AnArrivalUnderANewConfigurationComesAfterIt);
  CPPUNIT_TEST_SUITE_END();

  std::string text_;
  bool writable_ = true;

  trace_recording Recording(std::uint64_t max_bytes = kEnough) {
    return {{"entry-1", "a", 1, max_bytes}, [this](std::string_view line) {
              text_ += writable_ ? line : "";
              return writable_;
            }};
  }

  trace Read() const {
    std::istringstream in(text_);
    return ReadTrace(in);
  }

 public:
  void AReplayCountsWhatTheHostCounted() {
    auto recording = Recording();
    recording.Observe({}, kStart - milliseconds(50));
    recording.Observe(Snapshot(), kStart);
    for (int i = 0; i < 20; ++i) {
      recording.Ended(Answered(), kStart + milliseconds(100 * i));
    }
    recording.Ended(Ended(error_kind::kOverloaded), kStart + milliseconds(40));
    recording.Close(kStart + std::chrono::seconds(3));

    const trace read = Read();
    const replay_result result = Replay(read, {});
    CPPUNIT_ASSERT_EQUAL(std::string(), FirstDifference(read, result));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{21},
                         result.classes.at("interactive").requests);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{21},
                         result.workspaces.at("ws").requests);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.configurations.at(0).revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.host_lists.at(0).hosts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read.load_reports.size());
    CPPUNIT_ASSERT(text_.find("9f86d081") == std::string::npos);
    CPPUNIT_ASSERT(text_.find("60303ae2") == std::string::npos);
  }

  void TakesOnlyRequestsThatAReplayCanRun() {
    auto recording = Recording();
    recording.Observe(Snapshot(), kStart);
    request_trace replayed = Answered();
    replayed.replayed = true;
    request_trace direct = Answered();
    direct.pipeline = "letters";
    recording.Ended(replayed, kStart);
    recording.Ended(direct, kStart);
    recording.Ended(Ended(error_kind::kClaimUnavailable), kStart);
    recording.Ended(Answered(), kStart - milliseconds(1));
    recording.Ended(Ended(error_kind::kCancelled), kStart);
    recording.Close(kStart);

    const trace read = Read();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.arrivals.size());
    CPPUNIT_ASSERT(!read.arrivals[0].answer);
  }

  void AStageThatDidNotRunTakesItsUsualTime() {
    auto recording = Recording();
    recording.Observe(Snapshot(), kStart);
    recording.Ended(Answered(), kStart);
    recording.Ended(Ended(error_kind::kOverloaded), kStart + milliseconds(1));
    recording.Close(kStart);

    const trace read = Read();
    CPPUNIT_ASSERT(read.arrivals.at(0).work == read.arrivals.at(1).work);
    CPPUNIT_ASSERT(replay_outcome::kRefused ==
                   read.arrivals.at(1).answer->outcome);
  }

  // A busy host fills the size it was given. The operator reads a whole trace
  // of the first part, never half a line, and the host's disk is not filled.
  void StopsAtItsSizeAndStaysReadable() {
    constexpr std::uint64_t kSmall = 100'000;
    auto recording = Recording(kSmall);
    recording.Observe(Snapshot(), kStart);
    for (int i = 0; i < 2000; ++i) {
      recording.Ended(Answered(), kStart + milliseconds(i));
    }
    recording.Close(kStart + std::chrono::seconds(3));

    CPPUNIT_ASSERT(recording_state::kFull == recording.State());
    CPPUNIT_ASSERT(text_.size() <= kSmall);
    const trace read = Read();
    CPPUNIT_ASSERT_EQUAL(recording.Arrivals(),
                         std::uint64_t{read.arrivals.size()});
    CPPUNIT_ASSERT(read.arrivals.size() > 50);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         FirstDifference(read, Replay(read, {})));
  }

  void AFileThatTakesNoMoreEndsTheRecording() {
    auto recording = Recording();
    recording.Observe(Snapshot(), kStart);
    writable_ = false;
    recording.Ended(Answered(), kStart);
    writable_ = true;
    const std::size_t before = text_.size();
    recording.Ended(Answered(), kStart);
    recording.Close(kStart);
    CPPUNIT_ASSERT(recording_state::kFailed == recording.State());
    CPPUNIT_ASSERT_EQUAL(before, text_.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, recording.Arrivals());
  }

  void FaultsHaveTheirTimes() {
    auto recording = Recording();
    control_snapshot snapshot = Snapshot();
    recording.Observe(snapshot, kStart);
    snapshot.services["encoders"].endpoints[0].leaving = true;
    recording.Observe(snapshot, kStart + milliseconds(200));
    for (int i = 0; i < 3; ++i) {
      request_trace request = Answered();
      request.notes = {Attempt("engines-1", "failed")};
      recording.Ended(request, kStart + milliseconds(100 + 50 * i));
    }
    request_trace again = Answered();
    again.notes = {Attempt("engines-1", "answered"),
                   Attempt("engines-1", "failed")};
    recording.Ended(again, kStart + milliseconds(400));
    recording.Close(kStart + milliseconds(900));

    const std::vector<trace_fault> faults = Read().faults;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, faults.size());
    const trace_fault failing{milliseconds(101), milliseconds(201),
                              fault_kind::kFail, 1,
                              {"engines-1"},     {}};
    const trace_fault leaving{milliseconds(200),    milliseconds(900),
                              fault_kind::kLeaving, 1,
                              {"encoders-1"},       {}};
    CPPUNIT_ASSERT(failing == faults[0]);
    CPPUNIT_ASSERT(leaving == faults[1]);
  }

  // The recorder looks a moment after the traffic threads took the new
  // configuration; a pipeline that is new in it must not arrive before it.
  void AnArrivalUnderANewConfigurationComesAfterIt() {
    auto recording = Recording();
    control_snapshot snapshot = Snapshot();
    recording.Observe(snapshot, kStart);
    recording.Observe(snapshot, kStart + milliseconds(50));
    auto next =
        std::make_shared<accepted_configuration>(*snapshot.configuration);
    next->revision = 8;
    snapshot.configuration = next;
    recording.Observe(snapshot, kStart + milliseconds(100));
    recording.Close(kStart + milliseconds(150));
    const trace read = Read();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.configurations.size());
    CPPUNIT_ASSERT(read.configurations[1].at == milliseconds(50));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_recording_test);

}  // namespace
}  // namespace slatestall
