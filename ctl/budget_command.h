#pragma once

#include <optional>
#include <string>

#include "ctl/command.h"

namespace fuchsiadrum::ctl {

/// budget show|top-up.
class BudgetCommand : public Command {
 public:
  BudgetCommand(CLI::App& app, const GlobalOptions& globals);

  std::optional<ExitCode> Run() override;

 private:
  ExitCode Show();
  ExitCode TopUp();

  CLI::App* show;
  CLI::App* top_up;
  std::string organisation;
  int64_t tokens = 0;
  std::string top_up_id;
  uint32_t wait_ms = 10000;
};

}  // namespace fuchsiadrum::ctl
