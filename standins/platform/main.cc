#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>
#include <exception>
#include <iostream>

#include "standins/common/stop_signal.h"
#include "standins/platform/platform_server.h"

namespace slatestall {
namespace {

int Run(int argc, char** argv) {
  platform_options options;
  std::string listen = "127.0.0.1:0";
  std::int64_t retention_s = 3600;
  std::int64_t list_lag_ms = 1000;

  CLI::App app{"Stand-in for the platform: log, host list and weight store"};
  app.add_option("--listen", listen, "IP:port; port 0 takes a free one")
      ->capture_default_str();
  app.add_option("--retention-records", options.log.retention.records)
      ->capture_default_str();
  app.add_option("--retention-s", retention_s)->capture_default_str();
  app.add_option("--appends-per-second", options.log.appends_per_second,
                 "0: no limit")
      ->capture_default_str();
  app.add_option("--list-lag-ms", list_lag_ms)->capture_default_str();
  app.add_option("--weights-per-second", options.weights_per_second)
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);

  options.listen = ParseListenAddress(listen);
  options.log.retention.age = std::chrono::seconds(retention_s);
  options.list_lag = milliseconds(list_lag_ms);
  asio::io_context context(1);
  stop_signal stop(context);
  platform_server server(context, options);
  std::cout << "platform " << options.listen.ip << ":" << server.Port()
            << std::endl;
  context.run();
  return 0;
}

}  // namespace
}  // namespace slatestall

int main(int argc, char** argv) {
  try {
    return slatestall::Run(argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "standin_platform: " << problem.what() << "\n";
    return 1;
  }
}
