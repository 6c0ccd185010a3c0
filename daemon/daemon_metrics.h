#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/ring.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::daemon {

/// Metrics of the daemon itself, without the node's. Thread-safe.
class DaemonMetrics {
 public:
  DaemonMetrics();
  ~DaemonMetrics();
  DaemonMetrics(const DaemonMetrics&) = delete;
  DaemonMetrics& operator=(const DaemonMetrics&) = delete;

  /// Adds to the counter `name{label="value"}`.
  void Count(const std::string& name, const std::string& label,
             const std::string& value, uint64_t n = 1);
  /// Adds one to the counter with these labels and their values.
  using Labels = std::vector<std::pair<std::string, std::string>>;
  void Count(const std::string& name, const Labels& labels);
  /// Value of a counter; 0 if it was never counted.
  uint64_t Counter(const std::string& name, const std::string& value) const;
  /// Counters of a new ring.
  std::shared_ptr<RingCounters> AddRing(const std::string& ring);
  /// Adds the time that this daemon added to a request's first token.
  void AddFirstTokenDelay(Duration added);
  /// Number of open connections of callers. The connections count themselves
  /// and may outlive the server.
  using ConnectionCount = std::shared_ptr<std::atomic<int64_t>>;
  ConnectionCount Connections() const { return this->connections; }
  /// Everything in Prometheus text format.
  std::string Text() const;

 private:
  struct Histogram;

  using Key = std::pair<std::string, std::string>;  // name, label text
  mutable std::mutex mutex;
  std::map<Key, uint64_t> counters;
  std::vector<std::pair<std::string, std::shared_ptr<RingCounters>>> rings;
  std::unique_ptr<Histogram> first_token_delay;
  ConnectionCount connections = std::make_shared<std::atomic<int64_t>>(0);
};

}  // namespace fuchsiadrum::daemon
