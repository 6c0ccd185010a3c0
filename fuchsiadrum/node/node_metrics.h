#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "fuchsiadrum/node/request_observer.h"

namespace fuchsiadrum::node {

/// Counts finished requests by class, outcome and step.
class NodeMetrics {
 public:
  /// Counts one request.
  void Count(const RequestEnd& end);
  /// The counts in Prometheus text format.
  std::string Text() const;
  /// One gauge or counter in Prometheus text format.
  static std::string Line(const std::string& name, double value);

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  std::map<Key, uint64_t> requests;
};

}  // namespace fuchsiadrum::node
