#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>

#include "slatestall/http/http_server.h"
#include "standins/endpoint/call_identity.h"
#include "standins/endpoint/endpoint_options.h"
#include "standins/endpoint/fault_switch.h"
#include "standins/endpoint/ledger.h"

namespace slatestall {

/// @brief What endpoints of all kinds share: ledger and faults.
struct endpoint_core {
  endpoint_core(asio::io_context& event_loop, const endpoint_spec& served,
                const endpoint_options& behaviour,
                std::shared_ptr<ledger_file> file);

  asio::io_context& context;
  endpoint_spec spec;
  endpoint_options options;
  ledger runs;
  fault_switch faults;
};

http_server_options ServerOptionsOf(const endpoint_spec& spec);

/// @brief Answers `/faults` and `/ledger`.
/// @return Whether the request was one of these.
bool AnswerControlCall(endpoint_core& core, const http_request& request,
                       http_responder& responder);

/// @brief Ends the call where `fault` ends it before any work.
/// @return Whether the call is over.
bool EndBeforeWork(endpoint_core& core, fault_mode fault,
                   const call_identity& call,
                   const http_responder_ptr& responder);

/// @brief Refuses a call with the proof that it was not run.
void RefuseNotRun(endpoint_core& core, int status, const call_identity& call,
                  http_responder& responder, http_headers extra = {});

}  // namespace slatestall
