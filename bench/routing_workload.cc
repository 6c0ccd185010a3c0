#include "bench/routing_workload.h"

#include <algorithm>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::bench {
namespace {

constexpr int64_t kFirstArrivalUs = 4'000'000;
constexpr int kCallers = 400;
constexpr int kOrganisations = 10;
constexpr int kHotSpotSeconds = 8;
constexpr int kHotSpotEverySeconds = 20;
constexpr double kHotSpotShare = 0.1;

/// Lengths of one class of work, in blocks and tokens.
struct ClassShape {
  pb::WorkClass work_class;
  double share;
  int template_blocks;
  int history_low;  // blocks of the caller's history
  int history_high;
  int tail_low;  // tokens of the new part
  int tail_high;
  int output_low;
  int output_high;
};

constexpr ClassShape kCoral[] = {
    {pb::CONTRACT_DRAFT, 0.45, 4, 8, 28, 128, 512, 200, 600},
    {pb::QUICK_QUESTION, 0.55, 2, 0, 8, 64, 256, 40, 200},
};
constexpr ClassShape kDarilni[] = {
    {pb::SUGGESTION, 0.6, 3, 4, 12, 64, 384, 100, 300},
    {pb::LETTER, 0.4, 2, 0, 4, 64, 256, 250, 600},
};

class ArrivalMaker {
 public:
  ArrivalMaker(const WorkloadOptions& options, Rng rng)
      : options(options), rng(rng) {
    // Zipf with exponent 1, as a cumulative table.
    double sum = 0;
    for (int i = 1; i <= kCallers; ++i) {
      sum += 1.0 / i;
      this->cumulative.push_back(sum);
    }
  }

  Arrival Make(TimePoint at) {
    const DeploymentShape shape = ShapeOf(this->options.deployment);
    Arrival arrival{.at = at};
    arrival.daemon =
        static_cast<uint32_t>(this->rng.Below(this->options.daemons));
    if (this->rng.Chance(shape.service_share)) {
      const bool coral = this->options.deployment == "coral-andina";
      arrival.work_class = coral ? pb::BOOKING : pb::DRAW_CHECK;
      arrival.blocks = std::make_shared<std::vector<uint64_t>>();
      arrival.prompt_tokens = 1;
      return arrival;
    }
    arrival.model = this->rng.Chance(this->options.second_model) ? "m2" : "m";
    this->FillPrompt(arrival);
    return arrival;
  }

 private:
  const ClassShape& DrawClass() {
    const ClassShape* shapes =
        this->options.deployment == "coral-andina" ? kCoral : kDarilni;
    return this->rng.Unit() < shapes[0].share ? shapes[0] : shapes[1];
  }

  uint64_t DrawCaller(TimePoint at) {
    const int64_t second = at.us / 1'000'000;
    const bool hot = second % kHotSpotEverySeconds < kHotSpotSeconds;
    if (hot && this->rng.Chance(kHotSpotShare)) {
      const auto spot = static_cast<uint64_t>(second / kHotSpotEverySeconds);
      return (spot * 37 + 11) % kCallers;
    }
    const double at_sum = this->rng.Unit() * this->cumulative.back();
    return static_cast<uint64_t>(std::lower_bound(this->cumulative.begin(),
                                                  this->cumulative.end(),
                                                  at_sum) -
                                 this->cumulative.begin());
  }

  void FillPrompt(Arrival& arrival) {
    const ClassShape& shape = this->DrawClass();
    const uint64_t caller = this->DrawCaller(arrival.at);
    arrival.work_class = shape.work_class;

    // The length of a caller's history follows from the caller.
    const int span = shape.history_high - shape.history_low + 1;
    const int history =
        shape.history_low +
        static_cast<int>(
            Rng(caller * 7919 + 3).Below(static_cast<uint64_t>(span)));
    const int tail =
        static_cast<int>(this->rng.Between(shape.tail_low, shape.tail_high));
    const int shared = shape.template_blocks + history;
    const int block = this->options.block_tokens;
    arrival.prompt_tokens = shared * block + tail;
    arrival.output_tokens = static_cast<int>(
        this->rng.Between(shape.output_low, shape.output_high));

    auto blocks = std::make_shared<std::vector<uint64_t>>();
    uint64_t chain = Hash64(arrival.model, shape.work_class);
    for (int i = 0; i < arrival.prompt_tokens / block; ++i) {
      uint64_t part = caller % kOrganisations;
      if (i >= shape.template_blocks) part = 1000 + caller;
      if (i >= shared) part = this->rng.Next();
      chain =
          Rng(chain ^ (part * 0x9E3779B97F4A7C15ULL) ^ static_cast<uint64_t>(i))
              .Next();
      blocks->push_back(chain);
    }
    arrival.blocks = std::move(blocks);
  }

  WorkloadOptions options;
  Rng rng;
  std::vector<double> cumulative;
};

}  // namespace

DeploymentShape ShapeOf(const std::string& deployment) {
  if (deployment == "darilni-zreb") {
    return {
        .runners = 12, .services = 3, .service = "draw", .service_share = 0.3};
  }
  return {};
}

std::vector<Arrival> MakeArrivals(const WorkloadOptions& options, Rng rng) {
  const double all_rate =
      options.rate / (1.0 - ShapeOf(options.deployment).service_share);
  ArrivalMaker maker(options, rng.Fork("prompts"));
  std::vector<Arrival> arrivals;
  // Load reports are late, so that nothing is observed before.
  TimePoint at{kFirstArrivalUs};
  while (true) {
    at = at +
         Duration(1 + static_cast<int64_t>(rng.Exponential(1e6 / all_rate)));
    if (at.us > options.length.count()) return arrivals;
    arrivals.push_back(maker.Make(at));
  }
}

}  // namespace fuchsiadrum::bench
