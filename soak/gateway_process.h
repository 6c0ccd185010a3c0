#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::soak {

/// What happened to a gateway process from outside.
enum class ProcessEvent {
  kStart,
  kStop,
  kKill,
  kPause,
  kResume,
  kReload,
  kExit
};

std::string_view ProcessEventName(ProcessEvent event);

/// Options of a GatewayProcess.
struct GatewayProcessOptions {
  std::string program;
  /// Folder of the settings and the logs.
  std::string folder;
  std::string vm;
  std::string store_address;
  uint16_t callers_port = 0;
  uint16_t readiness_port = 0;
  uint16_t metrics_port = 0;
  /// Time between SIGTERM and SIGKILL, in seconds.
  double grace_s = 5;
};

/// One gateway as a child process, with what was done to it. The destructor
/// kills the process. Start it only in the thread in which it is destroyed: the
/// child ends with its parent's thread.
class GatewayProcess {
 public:
  struct Event {
    TimePoint at;
    ProcessEvent event;
  };

  explicit GatewayProcess(const GatewayProcessOptions& opts);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// Returns false if the process could not be started.
  bool Start();
  /// Sends the signal of the event; kKill also waits for the end.
  void Signal(ProcessEvent event);
  /// True while the process runs. Takes note of its end.
  bool IsRunning();
  /// How the last process ended, if it ended by itself with a failure or by a
  /// signal other than SIGKILL; empty otherwise.
  const std::string& BadEnd() const { return this->bad_end; }
  /// True if the readiness page answers with status 200.
  bool IsReady() const;

  const std::vector<Event>& History() const { return this->history; }
  uint16_t CallersPort() const { return this->options.callers_port; }
  const GatewayProcessOptions& Options() const { return this->options; }
  /// Lines of its log that name the request.
  std::vector<std::string> LogLinesOf(const std::string& id) const;

 private:
  void Record(ProcessEvent event);
  std::string LogFile() const;

  GatewayProcessOptions options;
  pid_t pid = -1;
  std::string bad_end;
  std::vector<Event> history;
};

}  // namespace fuchsiadrum::soak
