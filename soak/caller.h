#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "soak/caller_socket.h"
#include "soak/observations.h"

namespace fuchsiadrum::soak {

/// Options of a Caller.
struct CallerOptions {
  /// Start of the ids of its requests.
  std::string name;
  uint64_t seed = 1;
  /// Port of each gateway.
  std::vector<uint16_t> ports;
  /// True: it asks for streams of the long route only, else for none.
  bool asks_long = false;
};

/// Sends one request after the other. It keeps a connection until the gateway
/// closes it, or leaves it after some requests.
class Caller {
 public:
  Caller(const CallerOptions& opts, Observations& observations)
      : options(opts), seen(observations), rng(opts.seed) {}

  /// Sends requests until `stopping` is set.
  void Run(const std::atomic<bool>& stopping);
  /// Sends one small request to this gateway on a new connection, and returns
  /// what came back.
  CallerResult Probe(SoakRoute route, size_t gateway);
  /// Id of the last request that is no take-up.
  std::string LastId() const;

 private:
  /// How a request is sent.
  struct Plan {
    SoakRoute route = SoakRoute::kUnsafe;
    size_t body_bytes = 0;
    /// Version of the configuration that added the route.
    int added = 1;
    /// For a take-up: the request that began the stream, its number, and the
    /// last event that has come.
    std::string stream = {};
    int take_up = 0;
    uint64_t last_event = 0;
    bool in_chunks = false;
    /// Pause before each part of the body, in milliseconds.
    int64_t pause_ms = 0;
  };

  bool Open(size_t gateway);
  Plan DrawPlan();
  CallerResult Ask(const Plan& plan);
  /// Takes up the last stream at other gateways until its time limit, if it
  /// may be resumed and broke off after an event.
  void TakeUp(Plan plan, const CallerResult& first,
              const std::atomic<bool>& stopping);
  bool Send(const Plan& plan, const std::string& id, TimePoint deadline);
  void Receive(TimePoint deadline, CallerResult& result);

  CallerOptions options;
  Observations& seen;
  Rng rng;
  CallerSocket socket;
  size_t gateway_index = 0;
  int number = 0;
  int sent_count = 0;
};

}  // namespace fuchsiadrum::soak
