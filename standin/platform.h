#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "fuchsiadrum/core/rng.h"
#include "standin/http_server.h"

namespace fuchsiadrum::standin {

/// Settings of the platform stand-in.
struct PlatformOptions {
  /// How long the log keeps records; 0: for ever.
  uint32_t retention_ms = 0;
  /// Appends per second that the log accepts.
  uint32_t appends_per_second = 400;
  /// How far the VM list lags.
  uint32_t vm_lag_ms = 1000;
  uint64_t seed = 1;
};

/// The platform: append-only log, VM list and weight store.
///
/// Log:    POST /v1/streams/NAME/records            raw body -> {"offset"}
///         GET  /v1/streams/NAME/records?from&max&wait_ms
/// VMs:    GET  /v1/vms; POST /v1/vms {"name","leaving","gone"}
/// Store:  GET  /v1/weights/NAME -> {"granted_ms"}
/// Faults: POST /fault {"down","slow_ms","lose_answers","trim_before"}
class Platform : public Role {
 public:
  Platform(asio::io_context& context, PlatformOptions options);

  asio::awaitable<void> Handle(Request request, Responder& out) override;

 private:
  struct Entry {
    std::string data;
    int64_t at_ms;
  };
  struct Log {
    uint64_t first = 0;
    std::deque<Entry> entries;
    uint64_t End() const { return this->first + this->entries.size(); }
  };
  struct Vm {
    bool leaving = false;
    bool gone = false;
    int64_t visible_at_ms = 0;
  };

  asio::awaitable<void> HandleAppend(Log& log, const std::string& body,
                                     Responder& out);
  asio::awaitable<void> HandleRead(Log& log, const Target& target,
                                   Responder& out);
  asio::awaitable<void> HandleVms(const Request& request, Responder& out);
  asio::awaitable<void> HandleFault(const std::string& body, Responder& out);
  static nlohmann::json Bounds(const Log& log);
  static nlohmann::json Records(const Log& log, uint64_t from, uint64_t max);
  nlohmann::json VisibleVms() const;
  void Trim(Log& log);
  bool TakeAppendSlot();

  asio::io_context& context;
  PlatformOptions options;
  Rng rng;
  std::map<std::string, Log> logs;
  std::map<std::string, Vm> vms;
  bool down = false;
  uint32_t slow_ms = 0;
  double lose_answers = 0.0;
  double append_slots = 0.0;
  int64_t slots_at_ms = 0;
};

}  // namespace fuchsiadrum::standin
