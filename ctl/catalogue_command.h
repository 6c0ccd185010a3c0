#pragma once

#include <optional>
#include <string>

#include "ctl/command.h"

namespace fuchsiadrum::ctl {

/// catalogue list|show|put|remove|history, upstream list|drain, caller-key
/// make, operator-key make.
class CatalogueCommand : public Command {
 public:
  CatalogueCommand(CLI::App& app, const GlobalOptions& globals);

  std::optional<ExitCode> Run() override;

 private:
  ExitCode List(const std::string& kind);
  ExitCode Show();
  ExitCode Put();
  ExitCode Remove();
  ExitCode History();
  ExitCode Drain();
  ExitCode ListUpstreams();
  ExitCode MakeCallerKey();
  ExitCode MakeOperatorKey();
  /// Sends an edit and waits for its verdict. A null entry removes.
  ExitCode Edit(const std::string& key, const nlohmann::json& entry,
                uint64_t base_revision);
  ExitCode AwaitVerdict(const std::string& edit_id);
  ExitCode ShowVerdict(const nlohmann::json& verdict);
  std::string Sign(const nlohmann::json& edit, ExitCode& failure) const;

  CLI::App* list;
  CLI::App* show;
  CLI::App* put;
  CLI::App* remove;
  CLI::App* history;
  CLI::App* upstream_list;
  CLI::App* upstream_drain;
  CLI::App* make_key;
  CLI::App* make_operator_key;
  std::string kind;
  std::string key;
  std::string file;
  std::string reason;
  std::string shift;
  std::string organisation;
  std::string operator_name;
  std::string owners = "*";
  uint64_t base_revision = 0;
  uint32_t wait_ms = 10000;
};

}  // namespace fuchsiadrum::ctl
