#include <cppunit/extensions/HelperMacros.h>

#include <asio.hpp>
#include <optional>

#include "slatestall/http/http_client.h"
#include "slatestall/http/http_server.h"

namespace slatestall {
namespace {

class http_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(http_test);
  CPPUNIT_TEST(AnswersACall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnswersACall() {
    asio::io_context context;
    http_server server(
        context, {},
        [](const http_request& request, const http_responder_ptr& responder) {
          responder->StartStream(200, {});
          responder->Write(request.body);
          responder->Write("!");
          responder->Finish();
        });
    http_client client(context);
    http_call call;
    call.method = "POST";
    call.url =
        "http://127.0.0.1:" + std::to_string(server.Port()) + "/echo?a=b";
    call.body = "hello";
    std::optional<http_result> result;
    client.Start(call, [&](http_result r) { result = std::move(r); });
    while (!result && context.run_one() != 0) {
    }
    CPPUNIT_ASSERT_EQUAL(std::string("hello!"), result->body);
    CPPUNIT_ASSERT(result->end == call_end::kComplete);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_test);

}  // namespace
}  // namespace slatestall
