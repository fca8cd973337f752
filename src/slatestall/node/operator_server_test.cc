#include "slatestall/node/operator_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <optional>

#include "slatestall/http/http_client.h"

namespace slatestall {
namespace {

constexpr auto kGiveUp = std::chrono::seconds(20);

class operator_server_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(operator_server_test);
  CPPUNIT_TEST(ServesTheOperatorsCalls);
  CPPUNIT_TEST(ServesNothingElse);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context context_;
  int drains_ = 0;

  http_result Ask(const std::string& method, const std::string& path) {
    admin_actions actions;
    actions.drain = [this] { ++drains_; };
    const operator_server server(
        context_, "127.0.0.1:0",
        [&actions](const http_request& request, const admin_reply& reply) {
          HandleAdmin(actions, request, reply);
        });
    http_client client(context_);
    http_call call;
    call.method = method;
    call.url = "http://127.0.0.1:" + std::to_string(server.Port()) + path;
    std::optional<http_result> result;
    client.Start(std::move(call),
                 [&result](http_result ended) { result = std::move(ended); });
    const auto end = std::chrono::steady_clock::now() + kGiveUp;
    while (!result && std::chrono::steady_clock::now() < end) {
      context_.run_one_for(kGiveUp);
    }
    return result.value();
  }

 public:
  void ServesTheOperatorsCalls() {
    const http_result answer = Ask("POST", "/v1/admin/drain");
    CPPUNIT_ASSERT_EQUAL(202, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"draining\":true}"), answer.body);
    CPPUNIT_ASSERT_EQUAL(1, drains_);
  }

  // A path of the same length as the prefix must not be taken for it.
  void ServesNothingElse() {
    CPPUNIT_ASSERT_EQUAL(404, Ask("POST", "/v2/admin/drain").status);
    CPPUNIT_ASSERT_EQUAL(404, Ask("POST", "/drain").status);
    CPPUNIT_ASSERT_EQUAL(0, drains_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_server_test);

}  // namespace
}  // namespace slatestall
