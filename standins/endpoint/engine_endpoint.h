#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "slatestall/http/http_server.h"
#include "standins/endpoint/endpoint_core.h"
#include "standins/endpoint/engine_batch.h"
#include "standins/endpoint/engine_orders.h"
#include "standins/endpoint/load_sampler.h"
#include "standins/endpoint/prefix_cache.h"

namespace slatestall {

/// @brief A model engine.
class engine_endpoint {
 public:
  engine_endpoint(asio::io_context& context, const endpoint_spec& spec,
                  const endpoint_options& options,
                  std::shared_ptr<ledger_file> file);

  std::uint16_t Port() const { return server_.Port(); }

 private:
  void Handle(const http_request& request, const http_responder_ptr& responder);
  void Complete(const http_request& request,
                const http_responder_ptr& responder);
  void Begin(const call_identity& call, const nlohmann::json& body,
             const http_responder_ptr& responder, fault_mode fault);
  void Resume(const call_identity& call, const nlohmann::json& body,
              const http_responder_ptr& responder, fault_mode fault);
  void Attach(const generation_ptr& work, const call_identity& call,
              const http_responder_ptr& responder, std::uint32_t offset,
              fault_mode fault);
  void Detach(const generation_ptr& work, const event_stream* stream);
  void Admitted(generation& work);
  void Progressed(const generation_ptr& work);
  void Cancel(const std::string& attempt);
  void Drop(const generation_ptr& work);
  void SweepKept();
  void ExportPrefix(const nlohmann::json& body, http_responder& responder);
  void ImportPrefix(const nlohmann::json& body, http_responder& responder);
  void TakeOrder(const nlohmann::json& body, http_responder& responder);
  void AnswerLoad(const http_request& request, http_responder& responder) const;
  nlohmann::json Load() const;

  endpoint_core core_;
  prefix_cache cache_;
  engine_orders orders_;
  engine_batch batch_;
  load_sampler load_;
  /// By the attempt that began it; kept a while after its stream was cut.
  std::unordered_map<std::string, generation_ptr> kept_;
  asio::steady_timer sweep_timer_;
  http_server server_;
};

}  // namespace slatestall
