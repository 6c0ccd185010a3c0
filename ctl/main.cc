#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <vector>

#include "ctl/budget_command.h"
#include "ctl/catalogue_command.h"
#include "ctl/fleet_command.h"

namespace fuchsiadrum::ctl {
namespace {

constexpr const char* kFooter = R"(Examples:
  fuchsiadrumctl fleet status
  fuchsiadrumctl catalogue list --kind organisation
  fuchsiadrumctl --author ana catalogue put model/drafter --file drafter.json --base 0 --reason "new model"
  fuchsiadrumctl --author ana budget top-up choir-hire 1000000
  fuchsiadrumctl budget show choir-hire

Exit codes: 0 done, 1 refused or failed, 2 wrong use, 3 lost a race with another edit, 4 daemon unreachable)";

int Main(int argc, char** argv) {
  CLI::App app("Operates a fuchsiadrum fleet through any daemon's admin port.");
  app.footer(kFooter);
  app.require_subcommand(1);
  app.fallthrough();
  GlobalOptions globals;
  app.add_option("--admin", globals.address, "IP:port of a daemon's admin port")
      ->envname("FUCHSIADRUM_ADMIN");
  app.add_option("--timeout-ms", globals.timeout_ms);
  app.add_flag("--json", globals.json, "print JSON");
  app.add_option("--author", globals.author, "name of the operator")
      ->envname("FUCHSIADRUM_AUTHOR");
  app.add_option("--key", globals.key_file, "file with the operator's key");

  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(std::make_unique<CatalogueCommand>(app, globals));
  commands.push_back(std::make_unique<BudgetCommand>(app, globals));
  commands.push_back(std::make_unique<FleetCommand>(app, globals));

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::kUsage);
  }
  for (const auto& command : commands) {
    if (const auto code = command->Run()) return static_cast<int>(*code);
  }
  return static_cast<int>(ExitCode::kUsage);
}

}  // namespace
}  // namespace fuchsiadrum::ctl

int main(int argc, char** argv) {
  try {
    return fuchsiadrum::ctl::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
