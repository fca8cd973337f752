#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>
#include <exception>
#include <iostream>
#include <memory>
#include <vector>

#include "standins/common/stop_signal.h"
#include "standins/endpoint/endpoint_options.h"
#include "standins/endpoint/engine_endpoint.h"
#include "standins/endpoint/pool_endpoint.h"

namespace slatestall {
namespace {

struct command_line {
  std::string specs;
  std::string ledger_path;
  endpoint_options behaviour;
};

void AddEngineOptions(CLI::App& app, endpoint_options& options) {
  app.add_option("--step-ms", options.step_ms, "Engine step, one token each")
      ->capture_default_str();
  app.add_option("--step-growth", options.step_growth,
                 "Added to a step per further running stream, as a share")
      ->capture_default_str();
  app.add_option("--prefill-tokens-per-ms", options.prefill_tokens_per_ms)
      ->capture_default_str();
  app.add_option("--cached-prefixes", options.cached_prefixes)
      ->capture_default_str();
  app.add_option("--event-loss", options.event_loss,
                 "Share of cache events that are never published")
      ->capture_default_str();
  app.add_flag("--check-fencing", options.checks_fencing,
               "Refuse orders with an old fencing number");
  app.add_option("--models", options.models, "Models loaded, name@version")
      ->delimiter(',');
  app.add_option("--adapters", options.adapters)->delimiter(',');
}

void AddMilliseconds(CLI::App& app, const std::string& name,
                     milliseconds& value) {
  app.add_option_function<std::int64_t>(
      name, [&value](std::int64_t count) { value = milliseconds(count); });
}

void AddOptions(CLI::App& app, command_line& line) {
  endpoint_options& options = line.behaviour;
  app.add_option("--spec", line.specs,
                 "kind:IP:port:failure_domain,... ; port 0 takes a free one")
      ->required();
  app.add_option("--ledger-file", line.ledger_path,
                 "Also append what runs to this file");
  app.add_option("--slots", options.slots)->capture_default_str();
  app.add_option("--max-waiting", options.max_waiting)->capture_default_str();
  app.add_option("--seed", options.seed)->capture_default_str();
  app.add_option("--service-ms", options.service_ms,
                 "Median service time of pools and plain services")
      ->capture_default_str();
  app.add_option("--service-spread", options.service_spread)
      ->capture_default_str();
  AddMilliseconds(app, "--load-lag-ms", options.load_lag);
  AddMilliseconds(app, "--event-lag-ms", options.event_lag);
  AddMilliseconds(app, "--stream-retention-ms", options.stream_retention);
  AddMilliseconds(app, "--model-load-ms", options.model_load_time);
  AddEngineOptions(app, options);
}

/// @brief The endpoints of this process.
class endpoint_group {
 public:
  endpoint_group(asio::io_context& context, const command_line& line) {
    std::shared_ptr<ledger_file> file;
    if (!line.ledger_path.empty()) {
      file = std::make_shared<ledger_file>(line.ledger_path);
    }
    for (const auto& spec : ParseSpecs(line.specs)) {
      const std::uint16_t port =
          spec.kind == service_kind::kEngine
              ? Add(engines_, context, spec, line.behaviour, file)
              : Add(pools_, context, spec, line.behaviour, file);
      std::cout << NameIn(kServiceKindNames, spec.kind) << " " << spec.listen.ip
                << ":" << port << " " << spec.failure_domain << "\n";
    }
    std::cout << "ready" << std::endl;
  }

 private:
  template <typename Endpoint>
  static std::uint16_t Add(std::vector<std::unique_ptr<Endpoint>>& list,
                           asio::io_context& context, const endpoint_spec& spec,
                           const endpoint_options& options,
                           const std::shared_ptr<ledger_file>& file) {
    list.push_back(std::make_unique<Endpoint>(context, spec, options, file));
    return list.back()->Port();
  }

  std::vector<std::unique_ptr<engine_endpoint>> engines_;
  std::vector<std::unique_ptr<pool_endpoint>> pools_;
};

int Run(int argc, char** argv) {
  command_line line;
  CLI::App app{"Stand-in for endpoints: engines, pools and plain services"};
  AddOptions(app, line);
  CLI11_PARSE(app, argc, argv);

  asio::io_context context(1);
  stop_signal stop(context);
  endpoint_group endpoints(context, line);
  context.run();
  return 0;
}

}  // namespace
}  // namespace slatestall

int main(int argc, char** argv) {
  try {
    return slatestall::Run(argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "standin_endpoint: " << problem.what() << "\n";
    return 1;
  }
}
