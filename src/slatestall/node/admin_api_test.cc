#include "slatestall/node/admin_api.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>
#include <optional>

namespace slatestall {
namespace {

using nlohmann::json;

class admin_api_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(admin_api_test);
  CPPUNIT_TEST(EachEndOfAPublicationHasItsOwnStatus);
  CPPUNIT_TEST(ABadFileIsNotPublished);
  CPPUNIT_TEST(AMalformedBodyIsNotPublished);
  CPPUNIT_TEST(StatusMarksHostsThatAreBehind);
  CPPUNIT_TEST(OtherPathsAreNotFound);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kFile =
      "services:\n"
      "  archive:\n"
      "    kind: plain\n"
      "    from: host-list\n"
      "workspaces:\n"
      "  vanua:\n"
      "    routes: [archive]\n";

  publish_result next_;
  int published_ = 0;
  system_status status_;

  std::pair<int, json> Ask(const std::string& method, const std::string& path,
                           const std::string& body = {}) {
    admin_actions actions;
    actions.status = [this](const auto& done) { done(status_); };
    actions.publish = [this](config_revision, const std::string&,
                             const auto& done) {
      ++published_;
      done(next_);
    };
    actions.explain = [](const std::string&) { return std::string(); };
    std::optional<admin_answer> answer;
    HandleAdmin(actions, {method, path, "", {}, body},
                [&answer](admin_answer a) { answer = std::move(a); });
    return {answer->status, json::parse(answer->body)};
  }

  std::pair<int, json> Publish(const std::string& source) {
    return Ask("POST", "/v1/admin/config",
               json{{"base", 3}, {"source", source}}.dump());
  }

 public:
  // A script that publishes tells by the status alone whether the file is in
  // force, lost, never went out, or must be looked after.
  void EachEndOfAPublicationHasItsOwnStatus() {
    const auto status = [this](publish_end end) {
      next_ = {end, 4, "why"};
      const auto [code, body] = Publish(kFile);
      CPPUNIT_ASSERT_EQUAL(4, body.at("revision").get<int>());
      return code;
    };
    CPPUNIT_ASSERT_EQUAL(200, status(publish_end::kAccepted));
    CPPUNIT_ASSERT_EQUAL(409, status(publish_end::kRefused));
    CPPUNIT_ASSERT_EQUAL(504, status(publish_end::kUnknown));
    CPPUNIT_ASSERT_EQUAL(503, status(publish_end::kNotPublished));
  }

  void ABadFileIsNotPublished() {
    const auto [code, body] = Publish("services: 7\n");
    CPPUNIT_ASSERT_EQUAL(422, code);
    CPPUNIT_ASSERT_EQUAL(std::string("invalid"),
                         body.at("outcome").get<std::string>());
    CPPUNIT_ASSERT(!body.at("problems").empty());
    CPPUNIT_ASSERT_EQUAL(0, published_);
  }

  void AMalformedBodyIsNotPublished() {
    for (const char* body : {"", "[]", R"({"base":-1,"source":""})",
                             R"({"base":1})", R"({"source":"x"})"}) {
      CPPUNIT_ASSERT_EQUAL(400, Ask("POST", "/v1/admin/config", body).first);
    }
    CPPUNIT_ASSERT_EQUAL(0, published_);
  }

  void StatusMarksHostsThatAreBehind() {
    status_.self.revision = 5;
    status_.hosts.resize(2);
    status_.hosts[0].revision = 4;
    status_.hosts[1].revision = 5;
    const auto [code, body] = Ask("GET", "/v1/admin/status");
    CPPUNIT_ASSERT_EQUAL(200, code);
    CPPUNIT_ASSERT(body["hosts"][0]["behind"].get<bool>());
    CPPUNIT_ASSERT(!body["hosts"][1]["behind"].get<bool>());
  }

  void OtherPathsAreNotFound() {
    CPPUNIT_ASSERT_EQUAL(404, Ask("GET", "/v1/admin/").first);
    CPPUNIT_ASSERT_EQUAL(404, Ask("DELETE", "/v1/admin/config").first);
    CPPUNIT_ASSERT_EQUAL(404, Ask("GET", "/v1/admin/explain/x").first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admin_api_test);

}  // namespace
}  // namespace slatestall
