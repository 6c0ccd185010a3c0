#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "fuchsiadrum/core/reason.h"
#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/upstream/upstream_state.h"

namespace fuchsiadrum::routing {

using upstream::UpstreamIndex;

/// What the choice of an upstream depends on. The views must stay valid only
/// during the call.
struct RequestFeatures {
  /// Model of a chat completion; empty for a service call.
  std::string_view model;
  /// Name of the plain service; empty for a chat completion.
  std::string_view service;
  /// Hashes of the prompt's growing prefixes, shortest first; hash i covers the
  /// first (i + 1) * prefix_block tokens (see CostRouterOptions).
  std::span<const uint64_t> prefix_hashes;
  /// Upper bounds of prompt and output.
  Tokens prompt_bound;
  Tokens max_output;
  /// Availability zone of this daemon.
  std::string_view zone;
  /// Upstreams that must not be chosen, for example of earlier attempts.
  std::span<const UpstreamIndex> excluded;
};

/// One dispatch, kept by the caller and passed back with its feedback.
struct Dispatch {
  UpstreamIndex upstream = 0;
  /// Use of the slot; feedback for an earlier use is ignored.
  uint32_t epoch = 0;
  TimePoint at;
  /// Prompt tokens, and those that the upstream was expected to have cached.
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;
  /// Own requests in flight there, this one included.
  int in_flight = 0;
  bool first_token_seen = false;
};

/// How an attempt failed.
enum class FailureKind {
  kNotSent,   // connecting failed
  kRejected,  // refused for load (429, 503)
  kLeaving,   // refused because the upstream is leaving
  kBroken,    // connection lost or an error after the request was sent
  kSilent,    // idle bound passed
  kCancelled  // the caller went away; says nothing about the upstream
};

/// Events of an upstream's prefix cache, in the order of their sequence.
struct CacheEvents {
  /// Sequence of the first event; an event is one stored or evicted prefix.
  /// A sequence other than the next expected one means a gap.
  uint64_t first_sequence = 0;
  std::span<const uint64_t> stored;
  std::span<const uint64_t> evicted;
};

/// Chooses the upstream for one request. One instance serves one daemon.
class Router {
 public:
  Router() = default;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  virtual ~Router() = default;

  /// An upstream that accepts new work; nullopt: see LastReason().
  virtual std::optional<UpstreamIndex> Choose(
      TimePoint now, const RequestFeatures& request) = 0;
  /// Why the last Choose returned nothing.
  virtual const Reason& LastReason() const = 0;

  /// The request was handed to the upstream. The caller keeps the result and
  /// ends it with exactly one OnFinished or OnFailed.
  virtual Dispatch OnDispatch(TimePoint now, UpstreamIndex upstream,
                              const RequestFeatures& request) = 0;
  /// The first byte of the answer arrived.
  virtual void OnFirstToken(TimePoint now, Dispatch& dispatch) = 0;
  /// The answer is complete.
  virtual void OnFinished(TimePoint now, const Dispatch& dispatch,
                          Tokens output) = 0;
  /// The attempt ended without a complete answer.
  virtual void OnFailed(TimePoint now, const Dispatch& dispatch,
                        FailureKind kind) = 0;
  /// The table took a load report of this upstream over; `events` are the
  /// cache events that came with it.
  virtual void OnReport(TimePoint now, UpstreamIndex upstream,
                        const CacheEvents& events) = 0;
  /// Call at least every 100 ms.
  virtual void OnTick(TimePoint now) = 0;
};

}  // namespace fuchsiadrum::routing
