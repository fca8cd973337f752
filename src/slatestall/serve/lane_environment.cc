#include "slatestall/serve/lane_environment.h"

#include <asio/post.hpp>

namespace slatestall {

void CancelLater(const lane_environment& environment,
                 http_client::call_number number) {
  asio::post(environment.context,
             [client = std::weak_ptr(environment.client), number] {
               if (const auto alive = client.lock()) {
                 alive->Cancel(number);
               }
             });
}

}  // namespace slatestall
