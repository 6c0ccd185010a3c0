#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fuchsiadrum::ctl {

/// Exit codes of the tool; docs/operators/tool.md lists them.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kConflict = 3,
  kUnreachable = 4,
};

/// Writes results as text or JSON.
class Output {
 public:
  explicit Output(bool json) : json(json) {}

  bool IsJson() const { return this->json; }
  /// Prints a JSON value as one line; only in JSON mode.
  void Json(const nlohmann::json& value) const;
  /// Prints rows in aligned columns; the first row is the heading. Only in
  /// text mode.
  void Table(const std::vector<std::vector<std::string>>& rows) const;
  /// Prints a line; only in text mode.
  void Line(const std::string& text) const;
  /// Prints an error on stderr, coloured on a terminal.
  static void Error(const std::string& text);

 private:
  bool json;
};

/// "2026-12-04 11:58:03Z" of milliseconds since 1970.
std::string FormatTime(int64_t unix_ms);

/// Text of a JSON value without quotes; empty for null.
std::string Plain(const nlohmann::json& value);

}  // namespace fuchsiadrum::ctl
