#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "bench/load/balancer.h"
#include "bench/load/load_run.h"
#include "slatestall/http/http_client.h"

namespace slatestall {
namespace {

int Run(int argc, char** argv) {
  std::string hosts_path;
  std::string flows_path;
  double seconds = 10;
  load_run_options options;

  CLI::App app{"Sends open-loop load and checks every answer"};
  app.add_option("--hosts-file", hosts_path, "Base URLs, one a line; reread")
      ->required();
  app.add_option("--flows-file", flows_path, "JSON list of flows")->required();
  app.add_option("--outcomes-file", options.outcomes_path);
  app.add_option("--seconds", seconds)->capture_default_str();
  app.add_option("--max-open", options.max_open)->capture_default_str();
  app.add_option("--seed", options.seed)->capture_default_str();
  CLI11_PARSE(app, argc, argv);

  options.length = milliseconds(static_cast<std::int64_t>(seconds * 1000));
  std::ifstream flows(flows_path);
  for (const auto& fields : nlohmann::json::parse(flows)) {
    options.flows.push_back(FlowFrom(fields));
  }
  asio::io_context context(1);
  http_client client(context);
  balancer hosts(context, hosts_path, options.seed);
  load_run run({context, client, hosts}, options);
  run.Start();
  context.run();
  std::cout << run.Summary().dump(2) << std::endl;
  return 0;
}

}  // namespace
}  // namespace slatestall

int main(int argc, char** argv) {
  try {
    return slatestall::Run(argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "load_generator: " << problem.what() << "\n";
    return 1;
  }
}
