#pragma once

#include <ostream>
#include <string>

#include "slatestall/policy/trace.h"

namespace slatestall {

/// @brief First line of a trace.
/// @ingroup policy
std::string TraceHead(const std::string& name, std::uint64_t seed);

/// @brief One line of a trace each, without the end of line; `ReadTrace` reads
/// it back as it was.
std::string TraceLine(const trace_configuration& published);
std::string TraceLine(const trace_host_list& list);
std::string TraceLine(const trace_network& network);
std::string TraceLine(const trace_endpoint_model& model);
std::string TraceLine(const trace_endpoint& endpoint);
std::string TraceLine(const trace_fault& fault);
std::string TraceLine(const trace_load_report& report);
std::string TraceLine(const trace_arrival& arrival);
std::string TraceLine(const trace_outcome& outcome);

/// @brief Writes a whole trace.
void WriteTrace(const trace& trace, std::ostream& out);

}  // namespace slatestall
