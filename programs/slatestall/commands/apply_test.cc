#include "slatestall/commands/apply.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace slatestall {
namespace {

using nlohmann::json;

const char* const kFile =
    "services:\n  billing: {kind: plain, from: host-list}\n"
    "workspaces:\n  shop: {routes: [billing]}\n";

// Two hosts as seen through the first. Time moves only by sleeping.
class fake_system {
 public:
  config_revision first_revision = 4;
  config_revision second_revision = 4;
  bool second_reachable = true;
  bool second_draining = false;
  std::string source = "old";
  /// Answer to a publication, and what it leaves behind.
  std::function<admin_answer(fake_system&)> publish;
  /// Runs at each sleep.
  std::function<void(fake_system&)> later = [](fake_system&) {};
  bool up = true;
  int publications = 0;
  config_revision seen_base = 0;

  apply_result Run(std::optional<config_revision> base = std::nullopt,
                   const std::string& file = kFile) {
    apply_request request;
    request.host = "http://10.0.0.1:80";
    request.file = "f";
    request.source = file;
    request.base = base;
    request.wait = milliseconds(2000);
    return Apply(request, Hooks());
  }

 private:
  apply_hooks Hooks() {
    apply_hooks hooks;
    hooks.send = [this](const std::vector<admin_call>& calls) {
      return std::vector<admin_answer>{Answer(calls.front())};
    };
    hooks.sleep = [this](milliseconds time) {
      now_ += time;
      later(*this);
    };
    hooks.now = [this] { return now_; };
    hooks.progress = [](const std::string&) {};
    return hooks;
  }

  admin_answer Answer(const admin_call& call) {
    if (!up) {
      admin_answer none;
      none.detail = "refused";
      return none;
    }
    if (call.method == "POST") {
      ++publications;
      seen_base = json::parse(call.body).at("base").get<config_revision>();
      return publish(*this);
    }
    if (call.path == "/v1/admin/config") {
      return Whole(200, {{"revision", first_revision}, {"source", source}});
    }
    return Whole(200, Status());
  }

  json Status() const {
    const json first{{"name", "a"},       {"revision", first_revision},
                     {"since_ms", 1},     {"draining", false},
                     {"reachable", true}, {"behind", false}};
    json second = first;
    second["name"] = "b";
    second["revision"] = second_revision;
    second["reachable"] = second_reachable;
    second["draining"] = second_draining;
    return {{"host", "a"},
            {"revision", first_revision},
            {"hosts", {first, second}},
            {"log", {{"reachable", true}}}};
  }

 public:
  static admin_answer Whole(int status, const json& body) {
    admin_answer answer;
    answer.answered = true;
    answer.may_have_been_sent = true;
    answer.status = status;
    answer.body = body;
    return answer;
  }

  static admin_answer Lost() {
    admin_answer answer;
    answer.may_have_been_sent = true;
    answer.detail = "timed out";
    return answer;
  }

  void Accept(config_revision revision) {
    first_revision = revision;
    source = kFile;
  }

 private:
  time_point now_{};
};

class apply_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(apply_test);
  CPPUNIT_TEST(ReturnsWhenEveryHostHasIt);
  CPPUNIT_TEST(ToldWhoWonARace);
  CPPUNIT_TEST(BaseOfTheOperatorIsSent);
  CPPUNIT_TEST(LostAnswerIsSettledByReadingBack);
  CPPUNIT_TEST(LostAnswerThatStaysUnknownIsNeverSentAgain);
  CPPUNIT_TEST(LostAnswerBehindAnotherFileIsToldAtOnce);
  CPPUNIT_TEST(RefusedBehindItsOwnFirstPublicationIsInForce);
  CPPUNIT_TEST(FileInForceIsNotPublishedAgain);
  CPPUNIT_TEST(HostThatIsBehindDoesNotProveThatAFileIsInForce);
  CPPUNIT_TEST(UnreachableHostKeepsItFromBeingInForce);
  CPPUNIT_TEST(HostThatDrainedAndWentIsNotWaitedFor);
  CPPUNIT_TEST(ProblemsAreFoundBeforeAnyCall);
  CPPUNIT_TEST(HostThatIsDownIsToldApart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReturnsWhenEveryHostHasIt() {
    fake_system system;
    system.publish = [](fake_system& self) {
      self.Accept(7);
      return fake_system::Whole(200,
                                {{"outcome", "accepted"}, {"revision", 7}});
    };
    system.later = [](fake_system& self) { self.second_revision = 7; };
    const apply_result result = system.Run();
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kInForce);
    CPPUNIT_ASSERT_EQUAL(config_revision{7}, result.revision);
    CPPUNIT_ASSERT_EQUAL(config_revision{4}, system.seen_base);
  }

  // Two operators publish at nearly the same moment. The log's order lets the
  // other one win; this one is told which revision did, and nothing changed.
  void ToldWhoWonARace() {
    fake_system system;
    system.publish = [](fake_system&) {
      return fake_system::Whole(409, {{"outcome", "refused"}, {"revision", 6}});
    };
    const apply_result result = system.Run();
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(config_revision{6}, result.revision);
  }

  void BaseOfTheOperatorIsSent() {
    fake_system system;
    system.publish = [](fake_system&) {
      return fake_system::Whole(409, {{"outcome", "refused"}, {"revision", 4}});
    };
    system.Run(3);
    CPPUNIT_ASSERT_EQUAL(config_revision{3}, system.seen_base);
  }

  // The answer to the publication is lost after the log took it. Some time
  // later the host has read the record, and the operator learns that it is in
  // force without a second publication.
  void LostAnswerIsSettledByReadingBack() {
    fake_system system;
    system.publish = [](fake_system&) { return fake_system::Lost(); };
    system.later = [](fake_system& self) {
      self.Accept(5);
      self.second_revision = 5;
    };
    const apply_result result = system.Run();
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kInForce);
    CPPUNIT_ASSERT_EQUAL(1, system.publications);
  }

  // The answer is lost and the log stays down. A second publication could come
  // into force after someone else's; the operator is told that it is unknown,
  // and how to find out.
  void LostAnswerThatStaysUnknownIsNeverSentAgain() {
    fake_system system;
    system.publish = [](fake_system&) { return fake_system::Lost(); };
    const apply_result result = system.Run();
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(1, system.publications);
    CPPUNIT_ASSERT(result.detail.find("--base 4") != std::string::npos);
  }

  // The answer is lost, and when the host reads the log again another
  // operator's file is in force. This file can no longer come into force, so
  // the operator need not wait, and is told what to do instead of "again".
  void LostAnswerBehindAnotherFileIsToldAtOnce() {
    fake_system system;
    int sleeps = 0;
    system.publish = [](fake_system&) { return fake_system::Lost(); };
    system.later = [&sleeps](fake_system& self) {
      ++sleeps;
      self.first_revision = 6;
    };
    const apply_result result = system.Run();
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(config_revision{6}, result.revision);
    CPPUNIT_ASSERT_EQUAL(1, sleeps);
    CPPUNIT_ASSERT_EQUAL(1, system.publications);
    CPPUNIT_ASSERT(result.detail.find("--base") == std::string::npos);
  }

  // An apply ended as unknown, and the operator runs it again as told. Its host
  // reads the first record only after it was asked to publish, so the second
  // is refused in favour of the first: the same file, which is in force.
  void RefusedBehindItsOwnFirstPublicationIsInForce() {
    fake_system system;
    system.publish = [](fake_system& self) {
      self.Accept(5);
      self.second_revision = 5;
      return fake_system::Whole(409, {{"outcome", "refused"}, {"revision", 5}});
    };
    const apply_result result = system.Run(4);
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kInForce);
    CPPUNIT_ASSERT_EQUAL(config_revision{5}, result.revision);
  }

  void FileInForceIsNotPublishedAgain() {
    fake_system system;
    system.source = kFile;
    const apply_result result = system.Run();
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kInForce);
    CPPUNIT_ASSERT_EQUAL(0, system.publications);
  }

  // The operator goes back to an earlier file. The asked host has not seen the
  // newer revision yet and still serves just that file: taking its word would
  // leave the newer one in force and say that all is done.
  void HostThatIsBehindDoesNotProveThatAFileIsInForce() {
    fake_system system;
    system.source = kFile;
    system.second_revision = 5;
    system.publish = [](fake_system&) {
      return fake_system::Whole(409, {{"outcome", "refused"}, {"revision", 5}});
    };
    const apply_result result = system.Run();
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(1, system.publications);
  }

  void UnreachableHostKeepsItFromBeingInForce() {
    fake_system system;
    system.second_reachable = false;
    system.publish = [](fake_system& self) {
      self.Accept(5);
      return fake_system::Whole(200,
                                {{"outcome", "accepted"}, {"revision", 5}});
    };
    const apply_result result = system.Run();
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.waiting_for.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), result.waiting_for[0].name);
  }

  // A host was drained and its process has ended, but the platform's list still
  // names it. It serves nobody, so the operator does not wait for it.
  void HostThatDrainedAndWentIsNotWaitedFor() {
    fake_system system;
    system.second_reachable = false;
    system.second_draining = true;
    system.publish = [](fake_system& self) {
      self.Accept(5);
      return fake_system::Whole(200,
                                {{"outcome", "accepted"}, {"revision", 5}});
    };
    const apply_result result = system.Run();
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kInForce);
    CPPUNIT_ASSERT_EQUAL(std::string("in force on 1 host"), result.detail);
  }

  void ProblemsAreFoundBeforeAnyCall() {
    fake_system system;
    const apply_result result = system.Run(std::nullopt, "services: 3\n");
    CPPUNIT_ASSERT(result.outcome == apply_outcome::kInvalid);
    CPPUNIT_ASSERT(!result.problems.empty());
    CPPUNIT_ASSERT_EQUAL(0, system.publications);
  }

  void HostThatIsDownIsToldApart() {
    fake_system system;
    system.up = false;
    CPPUNIT_ASSERT(system.Run().outcome == apply_outcome::kUnreachable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(apply_test);

}  // namespace
}  // namespace slatestall
