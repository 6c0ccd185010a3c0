#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/organisation_shares.h"

namespace fuchsiadrum::serving {

/// What the head of a request and the configuration say about it.
struct OfferedRequest {
  /// Bytes of head and body.
  size_t bytes = 0;
  /// 0 is the most urgent.
  int priority = 5;
  /// Time to the first byte of the answer that its caller expects.
  Duration target_latency = std::chrono::seconds(1);
  /// Empty if its route needs none.
  std::string_view organisation;
  /// True if it asks for the rest of a stream that has begun.
  bool continues_stream = false;
};

/// Load of a VM's link and processor.
struct VmLoad {
  /// Rate of the link; 0: not known, which refuses nothing.
  double link_bytes_per_s = 0;
  /// Time that the link needs for the bytes that wait to be sent and for the
  /// bodies that were admitted and are not yet forwarded.
  Duration link_wait = Duration::zero();
  /// True if the processor is so loaded that new callers go elsewhere, and the
  /// load as a fraction of that at which all requests are refused.
  bool is_processor_busy = false;
  double processor_load = 0;
};

/// What becomes of a request whose head was read.
enum class AdmissionResult { kTaken, kLinkFull, kProcessorFull };

/// Returns the name of a result as used in metrics.
std::string_view AdmissionResultName(AdmissionResult result);

struct AdmissionDecision {
  AdmissionResult result = AdmissionResult::kTaken;
  /// Of a refusal: when the caller should come back.
  Duration retry_after = Duration::zero();
};

/// Options of AdmissionControl.
struct AdmissionOptions {
  /// Requests of at most this size are small: they take at most 1.6 ms of a
  /// link of 10 Mbit/s.
  size_t small_bytes = 2048;
  /// Wait for the link below which all requests are taken: that of one large
  /// request at 10 Mbit/s.
  Duration idle_wait = std::chrono::milliseconds(10);
  /// Wait that a small request may meet, as a fraction of the tightest target
  /// of the kinds that are at least as urgent. The rest is for its answer.
  double small_fraction = 0.8;
  Duration max_small_wait = std::chrono::milliseconds(400);
  /// Wait that a large request may meet, as a fraction of the tightest target
  /// of all kinds: they wait behind it.
  double large_fraction = 0.4;
  Duration max_large_wait = std::chrono::milliseconds(200);
  /// Both limits are at least this, four large requests at 10 Mbit/s, whatever
  /// the targets are.
  Duration min_wait = std::chrono::milliseconds(30);
  /// A request's limit is multiplied by this once if its organisation exceeds
  /// its fair share, and twice for each more urgent priority with demand, up to
  /// `max_steps` times, so that no kind is refused at any load.
  double step_factor = 0.8;
  int max_steps = 6;
  /// How long a kind counts as having demand after its last request.
  Duration demand_time = std::chrono::seconds(2);
  /// A priority or organisation without a large request for this long gets one
  /// through.
  Duration starvation_time = std::chrono::seconds(1);
  /// Retry-After is between these; the retry goes to another VM.
  Duration min_retry_after = std::chrono::milliseconds(20);
  Duration max_retry_after = std::chrono::milliseconds(150);
  OrganisationSharesOptions shares;
};

/// Decides from the head of a request whether a VM takes it. The scarce thing
/// is the time that requests wait for the link or the processor; a limit on
/// that wait is derived from the latency targets.
class AdmissionControl {
 public:
  explicit AdmissionControl(const AdmissionOptions& opts)
      : options(opts), shares(opts.shares) {}

  /// Decides about a request and counts it as offered.
  AdmissionDecision Decide(TimePoint now, const OfferedRequest& request,
                           const VmLoad& load, Rng& rng);
  /// Recent mean size in bytes of the route's requests, for one that does not
  /// state its length.
  size_t MeanBytes(const std::string& route) const;
  /// A request of the route has stated its length.
  void OnLength(const std::string& route, size_t bytes);
  bool IsSmall(size_t bytes) const {
    return bytes <= this->options.small_bytes;
  }
  OrganisationShares& Shares() { return this->shares; }

 private:
  /// Priority, target in microseconds, and whether requests are large.
  using Kind = std::tuple<int, int64_t, bool>;

  bool IsBulky(const OfferedRequest& request) const {
    return !request.continues_stream && !this->IsSmall(request.bytes);
  }
  void ForgetOldKinds(TimePoint now);
  /// Factor of the limits of a request, from its urgency and its organisation.
  double Factor(TimePoint now, const OfferedRequest& request, bool bulky_only);
  /// Wait for the link that the request may meet, its own transfer included.
  Duration WaitLimit(const OfferedRequest& request, bool as_small) const;
  bool IsStarved(TimePoint now, const OfferedRequest& request) const;
  bool RefusesForLink(TimePoint now, const OfferedRequest& request,
                      const VmLoad& load, Duration& excess);

  AdmissionOptions options;
  OrganisationShares shares;
  /// When a request of each kind was last offered.
  std::map<Kind, TimePoint> kinds;
  /// When a large request was last taken, by priority and by organisation.
  std::map<int, TimePoint> taken_by_priority;
  std::map<std::string, TimePoint, std::less<>> taken_by_organisation;
  std::map<std::string, double> mean_bytes;
};

}  // namespace fuchsiadrum::serving
