#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "slatestall/http/http_server.h"
#include "standins/endpoint/endpoint_core.h"
#include "standins/endpoint/load_sampler.h"
#include "standins/endpoint/work_queue.h"

namespace slatestall {

/// @brief An encoder, retriever, reranker or plain service.
class pool_endpoint {
 public:
  pool_endpoint(asio::io_context& context, const endpoint_spec& spec,
                const endpoint_options& options,
                std::shared_ptr<ledger_file> file);

  std::uint16_t Port() const { return server_.Port(); }

 private:
  void Handle(const http_request& request, const http_responder_ptr& responder);
  void Call(const http_request& request, const http_responder_ptr& responder);
  void Answer(const call_identity& call, const std::string& body,
              milliseconds service_time, fault_mode fault,
              const http_responder_ptr& responder);
  nlohmann::json Load() const;

  endpoint_core core_;
  work_queue queue_;
  load_sampler load_;
  http_server server_;
};

}  // namespace slatestall
