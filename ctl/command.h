#pragma once

#include <CLI/CLI.hpp>
#include <optional>
#include <string>

#include "ctl/admin_client.h"
#include "ctl/output.h"

namespace fuchsiadrum::ctl {

/// Options that all commands share.
struct GlobalOptions {
  std::string address = "127.0.0.1:8081";
  uint32_t timeout_ms = 5000;
  bool json = false;
  /// Name of the operator who edits.
  std::string author;
  /// File with the operator's private key in hex; empty: edits are unsigned.
  std::string key_file;
};

/// Base of a group of commands, for example "catalogue".
class Command {
 public:
  Command(CLI::App& app, const GlobalOptions& globals)
      : app(app), globals(globals) {}
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;
  virtual ~Command() = default;

  /// Runs the command that was parsed; nullopt if none of this group was.
  virtual std::optional<ExitCode> Run() = 0;

 protected:
  AdminClient Client() const;
  Output Out() const { return Output(this->globals.json); }
  /// Gets a JSON document and prints the error if there is none.
  std::optional<nlohmann::json> Fetch(const std::string& target,
                                      ExitCode& failure) const;
  /// Posts a JSON document and prints the error if it was refused.
  std::optional<nlohmann::json> Send(const std::string& target,
                                     const nlohmann::json& body,
                                     ExitCode& failure) const;
  /// Milliseconds since 1970.
  static int64_t NowMs();
  /// A random id of 16 bytes in hex.
  static std::string RandomId();

  CLI::App& app;
  const GlobalOptions& globals;

 private:
  std::optional<nlohmann::json> Check(
      const std::optional<AdminResponse>& response, const AdminClient& client,
      ExitCode& failure) const;
};

}  // namespace fuchsiadrum::ctl
