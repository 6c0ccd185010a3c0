#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fuchsiadrum/serving/upstream_notices.h"

namespace fuchsiadrum::serving {

/// Events after which an upstream is past the beginning of an answer: it does
/// not crash on the prompt.
constexpr int kEventsOfSoundPrompt = 3;

/// A run that ended with its upstream, and may have caused that.
struct LostRun {
  /// Hash of the request's id.
  uint64_t request = 0;
  /// Hash of the organisation's name.
  uint64_t organisation = 0;
  /// True if the upstream had begun to write the answer.
  bool has_begun = false;
  /// Parts of the prompt that other requests may share, without those that have
  /// been proven sound since.
  std::vector<uint64_t> parts;

  bool operator==(const LostRun&) const = default;
};

/// The end of an upstream that was not announced. The store keeps one record
/// for each, to which all gateways add the runs that they lost.
struct UpstreamCrash {
  UpstreamIncarnation upstream;
  std::vector<LostRun> runs;

  bool operator==(const UpstreamCrash&) const = default;
};

/// Key of a crash: one incarnation ends once.
std::string CrashKey(const UpstreamIncarnation& upstream);

/// Parts of prompts that are not run, because upstreams crash on them. A
/// request is concerned if its prompt has all of them: where the evidence
/// cannot separate a part from others, they are only refused together.
struct Quarantine {
  /// Sorted.
  std::vector<uint64_t> parts;
  /// Organisations whose runs are the evidence, sorted. A single one can keep
  /// only its own requests from running.
  std::vector<uint64_t> organisations;
  /// Crashes that decided it.
  int64_t crashes = 0;
  /// Trial runs that were claimed since.
  int64_t trials = 0;
  /// The gateway that may make the last one: "<vm>/<incarnation>".
  std::string trial_holder;

  bool operator==(const Quarantine&) const = default;
  /// True if it concerns a request of the organisation with these parts.
  bool Concerns(uint64_t organisation,
                const std::vector<uint64_t>& request_parts) const;
};

/// Key of a quarantine, by its parts.
std::string QuarantineKey(const std::vector<uint64_t>& parts);

}  // namespace fuchsiadrum::serving
