#pragma once

#include <optional>
#include <string>

#include "ctl/command.h"

namespace fuchsiadrum::ctl {

/// fleet status, report burn, requests lost, shard reopen, log
/// give-up-gap, handover.
class FleetCommand : public Command {
 public:
  FleetCommand(CLI::App& app, const GlobalOptions& globals);

  std::optional<ExitCode> Run() override;

 private:
  ExitCode Status();
  ExitCode Burn();
  ExitCode Lost();
  ExitCode Reopen();
  ExitCode GiveUpGap();
  ExitCode Handover();

  CLI::App* status;
  CLI::App* burn;
  CLI::App* lost;
  CLI::App* reopen;
  CLI::App* give_up_gap;
  CLI::App* handover;
  std::string organisation;
  std::string html_file;
  std::string reason;
  uint32_t shard = 0;
  double hours = 8;
};

}  // namespace fuchsiadrum::ctl
