#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/core/types.h"
#include "schema/catalogue.pb.h"

namespace fuchsiadrum::bench {

/// One request of the workload.
struct Arrival {
  TimePoint at;
  uint32_t daemon = 0;
  pb::WorkClass work_class = pb::QUICK_QUESTION;
  /// Model; empty: a call of the plain service.
  std::string model;
  std::shared_ptr<const std::vector<uint64_t>> blocks;
  int prompt_tokens = 0;
  int output_tokens = 1;
};

/// What differs between the deployments.
struct WorkloadOptions {
  std::string deployment = "coral-andina";
  uint32_t daemons = 9;
  Duration length = std::chrono::seconds(90);
  /// Model requests per second.
  double rate = 100;
  /// Share of model requests for the second model.
  double second_model = 0.05;
  int block_tokens = 256;
};

/// Number of model runners, plain service instances and the mean work of a
/// model request.
struct DeploymentShape {
  int runners = 20;
  int services = 3;
  std::string service = "booking";
  /// Share of all requests that call the plain service.
  double service_share = 0.15;
};

/// Shape of a deployment by name.
DeploymentShape ShapeOf(const std::string& deployment);

/// Arrivals of one run, ordered by time: Poisson, Zipf-distributed callers
/// whose prompts share a template and a history, and hot spots in which one
/// caller sends a tenth of the requests for some seconds.
std::vector<Arrival> MakeArrivals(const WorkloadOptions& options, Rng rng);

}  // namespace fuchsiadrum::bench
