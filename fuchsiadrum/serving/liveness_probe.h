#pragma once

#include <optional>
#include <string_view>

namespace fuchsiadrum::serving {

/// What became of a connection that was opened to an upstream.
enum class ProbeResult {
  kKept,    // it was accepted and stayed open
  kReset,   // it was accepted, and then closed or reset without a request
  kFailed,  // it was refused or did not open in time
};

/// Returns the name of a result as used in log lines.
std::string_view ProbeResultName(ProbeResult result);

/// Options of LivenessProbe.
struct LivenessProbeOptions {
  /// Connections in a row that an upstream has to accept and reset to count as
  /// alive. A process that ends may accept one before its listener closes.
  int min_resets = 2;
};

/// Judges by new connections whether the process of an upstream is alive. An
/// upstream that has all the connections that it takes resets further ones,
/// while nobody accepts a connection in place of a process that has ended.
class LivenessProbe {
 public:
  explicit LivenessProbe(const LivenessProbeOptions& opts) : options(opts) {}

  /// Takes the result of a connection that was opened after the one before had
  /// ended. Returns whether the upstream is alive; nullopt: another connection
  /// is needed.
  std::optional<bool> Add(ProbeResult result);

 private:
  LivenessProbeOptions options;
  int resets = 0;
};

}  // namespace fuchsiadrum::serving
