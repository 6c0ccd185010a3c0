#pragma once

namespace fuchsiadrum::serving {

/// What a request holds of an upstream from its placement until it is sent.
struct SendPermit {
  /// One request of this VM's share of the upstream's limit.
  bool of_limit = false;
  /// One request of those that this VM may send to the upstream while it is
  /// cold.
  bool of_cold = false;
};

}  // namespace fuchsiadrum::serving
