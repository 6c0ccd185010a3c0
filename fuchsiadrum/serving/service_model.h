#pragma once

#include <cstdint>

#include "fuchsiadrum/core/decaying_rate.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/routing/first_token_model.h"
#include "fuchsiadrum/serving/part_demand.h"

namespace fuchsiadrum::serving {

/// Load of the average upstream of a service, by which an upstream is judged
/// whose load report is old.
struct TypicalLoad {
  /// Requests of other VMs for each slot.
  double others_per_slot = 0;
  /// Mean time for which a request holds a slot, which is also the time after
  /// which a load report says little.
  Duration hold = std::chrono::milliseconds(800);
};

/// Options of a ServiceModel.
struct ServiceModelOptions {
  routing::FirstTokenModelOptions first_token;
  /// Time for which a request holds a slot, until the first one has ended.
  Duration hold = std::chrono::milliseconds(800);
  /// Weight of one observation in the moving averages: a few seconds of a VM
  /// that serves ten requests a second.
  double weight = 0.03;
};

/// What all upstreams of one service share, as learned from this VM's requests:
/// the time to the first token, the load of the average upstream, how long and
/// how large requests are, and which prompt parts are in demand.
class ServiceModel {
 public:
  explicit ServiceModel(const ServiceModelOptions& opts);

  /// A first token came after `us`, divided by its upstream's slowness.
  void OnFirstToken(const routing::FirstTokenFactors& factors, double us);
  /// A first token came after this multiple of the expected time.
  void OnRatio(double ratio);
  /// A load report was received: requests of other VMs for each slot.
  void OnOthers(double others_per_slot);
  /// A request held its slot for this long.
  void OnHold(Duration time);
  /// An answer had this interval between events. Returns the interval of the
  /// average upstream.
  Duration OnEventInterval(Duration interval);
  /// A request is placed: its tokens in total, and those that the upstream is
  /// not expected to have cached.
  void OnRequest(TimePoint now, int64_t tokens, int64_t uncached);
  /// A request was sent to a preferred upstream to which this VM had not sent
  /// its shared parts, and its first token came as fast as with cached ones.
  void OnUnseenParts(bool were_cached);

  const routing::FirstTokenModel& FirstToken() const { return this->model; }
  const TypicalLoad& Typical() const { return this->typical; }
  /// Mean tokens of a request, prompt and output.
  double MeanTokens() const { return this->mean_tokens; }
  double MeanUncached() const { return this->mean_uncached; }
  /// Uncached prompt tokens that this VM places per second.
  double UncachedPerSecond() const { return this->uncached_rate.PerSecond(); }
  /// Multiple of the expected time that nine of ten first tokens stay below; a
  /// later one says something about its upstream.
  double LateRatio() const { return this->late_ratio; }
  /// Fraction of the requests of OnUnseenParts that found them cached.
  double UnseenHits() const { return this->unseen_hits; }
  PartDemand& Demand() { return this->demand; }

 private:
  ServiceModelOptions options;
  routing::FirstTokenModel model;
  TypicalLoad typical;
  double event_interval_ms = 0;
  double mean_tokens = 0;
  double mean_uncached = 0;
  DecayingRate uncached_rate;
  double unseen_hits;
  double late_ratio;
  PartDemand demand;
};

}  // namespace fuchsiadrum::serving
