#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bench/fakes/event_queue.h"
#include "bench/fakes/fake_log.h"
#include "bench/fakes/fake_network.h"
#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::bench {

/// One answered read of the log.
struct LogRead {
  uint64_t from = 0;
  uint64_t first_retained = 0;
  uint64_t end = 0;
  std::vector<std::string> batches;
};

/// The platform's log behind a network: retention by age, outages and append
/// answers that are lost.
class CataloguePlatform {
 public:
  CataloguePlatform(EventQueue& queue, FakeNetwork& network, Rng rng,
                    Duration retention)
      : queue(queue), network(network), rng(rng), retention(retention) {}

  /// Reads from an offset; `answer` is not called if anything fails.
  void Read(const std::string& zone, uint64_t from,
            const std::function<void(const LogRead&)>& answer);
  /// Appends; `answer` is not called if anything fails.
  void Append(const std::string& zone, const std::string& batch,
              const std::function<void()>& answer);
  /// Stores a batch of the bench itself.
  uint64_t AppendDirect(const std::string& batch);

  void SetDown(bool value) { this->down = value; }
  bool IsDown() const { return this->down; }
  void SetLostAnswers(double ratio) { this->lost_answers = ratio; }
  void SetRetention(Duration value) { this->retention = value; }
  /// Drops batches that are older than the retention time.
  void Trim();

  uint64_t End() const { return this->log.End(); }
  /// Every batch that was ever stored, and when.
  const std::deque<std::string>& All() const { return this->all; }
  TimePoint StoredAt(uint64_t offset) const { return this->times[offset]; }

 private:
  EventQueue& queue;
  FakeNetwork& network;
  Rng rng;
  Duration retention;
  FakeLog log;
  std::deque<std::string> all;
  std::deque<TimePoint> times;
  bool down = false;
  double lost_answers = 0;
};

/// Name of the platform's zone in the network.
inline constexpr const char* kPlatformZone = "platform";

}  // namespace fuchsiadrum::bench
