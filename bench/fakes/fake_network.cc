#include "bench/fakes/fake_network.h"

namespace fuchsiadrum::bench {

void FakeNetwork::Send(const std::string& from_zone, const std::string& to_zone,
                       const std::function<void()>& deliver) {
  if (this->IsCut(from_zone, to_zone)) return;

  const Duration base = from_zone == to_zone ? this->options.same_zone_delay
                                             : this->options.other_zone_delay;
  const int copies = this->rng.Chance(this->options.duplicate) ? 2 : 1;

  for (int copy = 0; copy < copies; ++copy) {
    if (this->rng.Chance(this->options.loss)) continue;
    const Duration extra(this->rng.Between(0, this->options.jitter.count()));
    this->queue.After(base + extra, deliver);
  }
}

}  // namespace fuchsiadrum::bench
