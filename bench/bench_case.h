#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace fuchsiadrum::bench {

/// Command-line options that all benches share.
struct BenchOptions {
  uint64_t seed = 1;
  int runs = 20;
  std::string policy;                       // empty: the product's own
  std::string deployment = "coral-andina";  // or darilni-zreb
  std::string scenario = "mixed";
  std::string mutate;  // name of a rule to break
  std::string trace;   // file for events; empty: none
  bool json = false;
};

/// One measurement program.
class BenchCase {
 public:
  virtual ~BenchCase() = default;
  /// Runs and returns the figures; "violations" is always among them. Prints
  /// nothing on stdout in JSON mode.
  virtual nlohmann::json Run(const BenchOptions& options) = 0;
};

using BenchFactory = std::function<std::unique_ptr<BenchCase>()>;

/// All benches by name. Each bench/NAME_bench.cc defines one Make function
/// that bench/main.cc lists.
using BenchTable = std::map<std::string, BenchFactory>;

}  // namespace fuchsiadrum::bench
