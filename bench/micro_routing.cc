#include "bench/micro_routing.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

#include "fuchsiadrum/core/rng.h"
#include "fuchsiadrum/routing/router_factory.h"

namespace fuchsiadrum::bench {
namespace {

constexpr int kModels = 12;
constexpr int kPrompts = 4096;
constexpr size_t kBlocks = 24;
constexpr int64_t kPromptTokens = int64_t{24} * 256;
constexpr int kRounds = 20000;
constexpr int kRepeats = 5;

/// Times of one fleet size, nanoseconds for each call.
struct Timing {
  double choose = 0;
  double feedback = 0;
  double bytes_each = 0;
};

class Measurement {
 public:
  explicit Measurement(int upstreams) {
    for (int i = 0; i < upstreams; ++i) {
      pb::Upstream entry;
      entry.set_address("10.0.0.1:" + std::to_string(i));
      entry.set_availability_zone("zone-" + std::to_string(i % 11));
      const std::string name = "runner-" + std::to_string(i);
      this->table.Put(this->now, name, entry);
      // Small fleets serve one model, large ones share twelve.
      const int model = upstreams > 100 ? i % kModels : 0;
      this->table.OnReport(this->now, name,
                           {.reachable = true,
                            .running = i % 20,
                            .models = {"model-" + std::to_string(model)}});
    }
    for (int i = 0; i < kPrompts; ++i) {
      for (size_t block = 0; block < kBlocks; ++block) {
        // Blocks are shared by 64 prompts at the start, by none at the end.
        const int sharers = block < 4 ? 64 : (block < 16 ? 8 : 1);
        this->hashes.push_back(Rng(static_cast<uint64_t>(i / sharers) * 100 +
                                   static_cast<uint64_t>(block))
                                   .Next());
      }
    }
  }

  Timing Run() {
    routing::CostRouter router(this->table, {});
    this->Rounds(router, kRounds);  // fills the prefix index
    Timing best;
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      const Timing timing = this->Rounds(router, kRounds);
      if (repeat == 0 || timing.choose < best.choose) best = timing;
    }
    best.bytes_each = static_cast<double>(this->table.MemoryBytes()) /
                      static_cast<double>(this->table.Size());
    return best;
  }

 private:
  using Clock = std::chrono::steady_clock;

  routing::RequestFeatures Features() {
    const size_t prompt = this->rng.Below(kPrompts);
    return {.model = "model-0",
            .prefix_hashes = {&this->hashes[prompt * kBlocks], kBlocks},
            .prompt_bound = Tokens(kPromptTokens),
            .max_output = Tokens(300),
            .zone = "zone-3"};
  }

  Timing Rounds(routing::Router& router, int rounds) {
    Clock::duration choose{};
    Clock::duration feedback{};
    for (int i = 0; i < rounds; ++i) {
      this->now = this->now + Duration(50);
      const routing::RequestFeatures features = this->Features();
      const auto start = Clock::now();
      const auto choice = router.Choose(this->now, features);
      const auto chosen = Clock::now();
      routing::Dispatch dispatch =
          router.OnDispatch(this->now, *choice, features);
      router.OnFirstToken(this->now + Duration(40'000), dispatch);
      router.OnFinished(this->now + Duration(90'000), dispatch, Tokens(300));
      choose += chosen - start;
      feedback += Clock::now() - chosen;
    }
    const auto each = [rounds](Clock::duration sum) {
      return static_cast<double>(
                 std::chrono::duration_cast<std::chrono::nanoseconds>(sum)
                     .count()) /
             rounds;
    };
    return {.choose = each(choose), .feedback = each(feedback)};
  }

  TimePoint now{1'000'000};
  Rng rng{7};
  upstream::UpstreamTable table;
  std::vector<uint64_t> hashes;
};

}  // namespace

nlohmann::json MeasureRouting() {
  nlohmann::json out;
  for (const int upstreams : {30, 1000, 10000}) {
    const Timing timing = Measurement(upstreams).Run();
    const std::string suffix = "_" + std::to_string(upstreams);
    out["routing_choose_ns" + suffix] = timing.choose;
    out["routing_feedback_ns" + suffix] = timing.feedback;
    out["upstream_bytes" + suffix] = timing.bytes_each;
  }
  out["prefix_entry_bytes"] = routing::PrefixIndex::EntryBytes();
  return out;
}

}  // namespace fuchsiadrum::bench
