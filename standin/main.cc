#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <memory>

#include "standin/engine.h"
#include "standin/platform.h"
#include "standin/service.h"

namespace fuchsiadrum::standin {
namespace {

int Serve(asio::io_context& context, const std::string& listen, Role& role) {
  const HttpServer server(context, listen, role);
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](const beast::error_code&, int) { context.stop(); });
  std::cout << "standin: listening on " << listen << std::endl;
  context.run();
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Plays the platform and the upstreams for tests on loopback.");
  app.require_subcommand(1);
  app.set_config("--config");
  std::string listen = "127.0.0.1:9000";
  app.add_option("--listen", listen, "IP:port");

  PlatformOptions platform;
  CLI::App* platform_app = app.add_subcommand("platform");
  platform_app->add_option("--retention-ms", platform.retention_ms);
  platform_app->add_option("--appends-per-second", platform.appends_per_second);
  platform_app->add_option("--vm-lag-ms", platform.vm_lag_ms);
  platform_app->add_option("--seed", platform.seed);

  EngineOptions engine;
  CLI::App* engine_app = app.add_subcommand("engine");
  engine_app->add_option("--name", engine.name);
  engine_app->add_option("--models", engine.models)->delimiter(',');
  engine_app->add_option("--tokens-per-second", engine.tokens_per_second);
  engine_app->add_option("--prefill-per-second", engine.prefill_per_second);
  engine_app->add_option("--batch", engine.batch);
  engine_app->add_option("--cache-blocks", engine.cache_blocks);
  engine_app->add_option("--load-lag-ms", engine.load_lag_ms);
  engine_app->add_option("--check-fencing", engine.check_fencing);

  ServiceOptions service;
  CLI::App* service_app = app.add_subcommand("service");
  service_app->add_option("--name", service.name);
  service_app->add_option("--delay-ms", service.delay_ms);
  CLI11_PARSE(app, argc, argv);

  asio::io_context context(1);
  std::unique_ptr<Role> role;
  if (platform_app->parsed()) {
    role = std::make_unique<Platform>(context, platform);
  } else if (engine_app->parsed()) {
    role = std::make_unique<Engine>(engine);
  } else {
    role = std::make_unique<Service>(service);
  }
  return Serve(context, listen, *role);
}

}  // namespace
}  // namespace fuchsiadrum::standin

int main(int argc, char** argv) {
  try {
    return fuchsiadrum::standin::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "standin: " << error.what() << "\n";
    return 2;
  }
}
