#include "fuchsiadrum/serving/placement.h"

#include <algorithm>
#include <cmath>

#include "fuchsiadrum/core/duration.h"
#include "fuchsiadrum/serving/prompt_prefixes.h"

namespace fuchsiadrum::serving {

namespace detail {

uint64_t Preference(uint64_t part, uint64_t upstream) {
  return MixHashes(part, upstream);
}

}  // namespace detail

namespace {

constexpr double kUsPerMs = 1000.0;
/// The index from prompts to upstreams takes 48 bytes for each of these.
constexpr size_t kPrefixes = 8192;
/// The numbers of upstreams begin again after this one. Two upstreams with one
/// number only cost a comparison.
constexpr uint32_t kMaxNumber = 65535;
/// Numbers of tokens are bounded by this, far above any that is meant, so that
/// their sums cannot overflow.
constexpr int64_t kMaxTokens = 1'000'000'000'000;
/// Capacity that is assumed for the cached parts of an upstream whose memory is
/// not known, and the fraction of the memory that is not taken by requests.
constexpr double kDefaultMemoryTokens = 400000;
constexpr double kCacheFraction = 0.5;
/// Bounds of the time for which an upstream keeps a part that is not used. One
/// VM alone knows all that an upstream gets, so that time does not matter.
constexpr Duration kMinRetention = std::chrono::seconds(10);
constexpr Duration kMaxRetention = std::chrono::minutes(10);
constexpr Duration kRetentionOfOneVm = std::chrono::hours(24);
/// Whether unseen parts were cached is only learned where it makes a difference
/// of this many tokens.
constexpr double kMinUnseenTokens = 1000;
/// An answer later than this multiple of the time without cached parts does not
/// say whether they were cached.
constexpr double kMaxTellingRatio = 1.5;
/// Added to the noise of a cost by an unknown load, in multiples of it.
constexpr double kStaleNoise = 4.0;

/// Bounds the token counts of a request.
PlacementRequest Bounded(PlacementRequest request) {
  request.prompt_tokens =
      std::clamp<int64_t>(request.prompt_tokens, 0, kMaxTokens);
  request.max_output_tokens =
      std::clamp<int64_t>(request.max_output_tokens, 0, kMaxTokens);
  return request;
}

double ChanceOf(double per_second, Duration time) {
  return 1 - std::exp(-per_second * ToSeconds(time));
}

ServiceModelOptions ModelOptions(const PlacementOptions& options,
                                 bool has_prompt, int slots) {
  // The weight of an observation of 100 ms, which is a typical time.
  constexpr double kTypicalWeight = 1e-5;
  ServiceModelOptions model;
  model.first_token.ridge = options.prior_observations * kTypicalWeight;
  model.first_token.prior_us_per_token = options.ms_per_token * kUsPerMs;
  // The queue is given as the time for which it is expected to last, in ms.
  model.first_token.prior_us_per_queued = kUsPerMs;
  if (has_prompt) {
    model.first_token.prior_fixed = FromMilliseconds(options.fixed_ms);
    model.first_token.prior_us_per_request = options.ms_per_running * kUsPerMs;
    model.hold = FromMilliseconds(options.hold_ms);
  } else {
    model.first_token.prior_fixed = FromMilliseconds(options.service_ms);
    model.first_token.prior_us_per_request =
        options.service_ms * kUsPerMs / std::max(1, slots);
    model.hold = FromMilliseconds(options.service_ms);
  }
  return model;
}

}  // namespace

struct Placement::Context {
  TimePoint now;
  std::span<const FleetUpstreamPtr> candidates;
  PlacementRequest request;
  ServiceModel& model;
  /// False while so many upstreams ramp up that there is nowhere else to go.
  bool ramps_count = false;
  size_t preferred = 0;
  /// Requests per second of the fleet for the last shared part, at each
  /// preferred upstream.
  double rate_at_preferred = 0;
  int64_t shared_tokens = 0;
  /// Tokens that any upstream is expected to have cached from requests of other
  /// VMs with the same first parts.
  double common_tokens = 0;
  Duration retention = kRetentionOfOneVm;
  double us_per_token = 0;
};

Placement::Placement(const PlacementOptions& opts)
    : options(opts), rng(opts.seed), prefixes({.capacity = kPrefixes}) {}

std::optional<PlacementChoice> Placement::Choose(
    TimePoint now, std::span<const FleetUpstreamPtr> candidates,
    const PlacementRequest& request) {
  if (candidates.empty()) {
    this->reason = {.step = "place", .text = "no upstream of the service"};
    return std::nullopt;
  }
  Service& service = this->ServiceOf(now, request, *candidates.front());
  Context context = {.now = now,
                     .candidates = candidates,
                     .request = Bounded(request),
                     .model = service.model};
  service.ramping = this->Introduce(now, service, candidates);
  context.ramps_count = service.ramping * 2 <= candidates.size();
  this->Prepare(context);
  this->Rank(context);

  Best best;
  if (candidates.size() > this->options.full_scan) {
    this->ConsiderSamples(context, best);
  }
  // Also if all samples were ruled out, or are above their ramp-ups.
  if (!best.choice || best.is_above_ramp) {
    this->ConsiderAll(context, best);
  }
  if (!best.choice) {
    ++this->memory_refusals;
    this->reason = {.step = std::string(kMemoryStep),
                    .text = "the memory of all upstreams is in use"};
    return std::nullopt;
  }
  best.choice->candidates = candidates.size();
  service.model.OnRequest(now, best.choice->held_tokens,
                          best.choice->uncached_tokens);
  return best.choice;
}

size_t Placement::Ramping() const {
  size_t ramping = 0;
  for (const auto& [name, service] : this->services) ramping += service.ramping;
  return ramping;
}

Placement::Service& Placement::ServiceOf(TimePoint now,
                                         const PlacementRequest& request,
                                         const FleetUpstream& upstream) {
  const auto found = this->services.find(request.service);
  if (found != this->services.end()) return found->second;
  const ServiceModelOptions model =
      ModelOptions(this->options, request.has_prompt, upstream.entry.slots);
  return this->services
      .emplace(std::string(request.service),
               Service{.model = ServiceModel(model), .first_choice = now})
      .first->second;
}

size_t Placement::Introduce(TimePoint now, const Service& service,
                            std::span<const FleetUpstreamPtr> candidates) {
  const bool is_settled =
      now - service.first_choice > this->options.settle_time;
  size_t ramping = 0;
  for (const FleetUpstreamPtr& upstream : candidates) {
    const bool is_new = upstream->number == 0;
    if (is_new) {
      this->last_number = this->last_number % kMaxNumber + 1;
      upstream->number = this->last_number;
    }
    const bool has_started = is_new && is_settled;
    if (has_started) upstream->seen_at = now;
    if (upstream->TakeRecovery(now) || has_started) {
      upstream->ramp.Begin(now, upstream->entry.slots, this->rng.Unit());
    }
    if (upstream->ramp.IsActive()) ++ramping;
  }
  return ramping;
}

void Placement::Prepare(Context& context) const {
  ServiceModel& model = context.model;
  context.us_per_token = model.FirstToken().UsPerToken();
  const size_t shared = SharedPartCount(context.request.parts);
  if (!context.request.has_prompt || shared == 0) return;

  const auto fleet = static_cast<double>(this->vms);
  const auto count = static_cast<double>(context.candidates.size());
  if (this->vms > 1) {
    const int64_t known = context.request.memory_tokens;
    const double memory =
        known > 0 ? static_cast<double>(known) : kDefaultMemoryTokens;
    const double added = model.UncachedPerSecond() * fleet / count;
    const double seconds = kCacheFraction * memory / std::max(added, 1.0);
    context.retention =
        std::clamp(FromSeconds(std::min(seconds, ToSeconds(kMaxRetention))),
                   kMinRetention, kMaxRetention);
  }

  // Demand of the parts from the last shared one, which is the rarest, to the
  // first. Requests with other prompts spread a first part over all upstreams.
  double demand = 0;
  for (size_t i = shared; i-- > 0;) {
    const PromptPart& part = context.request.parts[i];
    context.shared_tokens += std::min(part.tokens, kMaxTokens);
    const double here = model.Demand().Add(context.now, part.id);
    if (i + 1 == shared) {
      demand = here;
    } else if (this->vms > 1) {
      const double others = std::max(0.0, here - demand) * fleet / count;
      context.common_tokens += static_cast<double>(part.tokens) *
                               model.UnseenHits() *
                               ChanceOf(others, context.retention);
    }
  }
  context.preferred = this->PreferredCount(context, demand * fleet);
  // This VM's own sends are in the upstream's PromptCache.
  context.rate_at_preferred =
      demand * (fleet - 1) / static_cast<double>(context.preferred);
}

size_t Placement::PreferredCount(const Context& context, double demand) const {
  const auto own_tokens = static_cast<double>(std::max<int64_t>(
      0, context.request.prompt_tokens - context.shared_tokens));
  const double prefill_s = own_tokens * context.us_per_token * 1e-6;
  const int slots = std::max(1, context.candidates.front()->entry.slots);
  const double hold_s = ToSeconds(context.model.Typical().hold);
  const double upstreams =
      demand * std::max(prefill_s / this->options.prefill_use,
                        hold_s / (slots * this->options.slot_use));
  const auto most = static_cast<double>(this->options.max_preferred);
  const auto wanted =
      static_cast<size_t>(std::ceil(std::clamp(upstreams, 0.0, most)));
  return std::min(std::max(wanted, this->options.min_preferred),
                  context.candidates.size());
}

void Placement::Rank(Context& context) {
  const size_t shared = SharedPartCount(context.request.parts);
  const uint64_t part = shared == 0 ? 0 : context.request.parts[shared - 1].id;
  this->order.clear();
  for (uint32_t i = 0; i < context.candidates.size(); ++i) {
    const uint64_t preference =
        context.preferred == 0
            ? 0
            : detail::Preference(part, context.candidates[i]->id_hash);
    this->order.push_back({.preference = preference, .index = i});
  }
  if (context.preferred == 0 || context.preferred >= this->order.size()) return;
  const auto end =
      this->order.begin() + static_cast<std::ptrdiff_t>(context.preferred);
  std::ranges::nth_element(this->order, end, std::greater<>(),
                           &Ranked::preference);
}

void Placement::ConsiderAll(const Context& context, Best& best) {
  for (size_t place = 0; place < this->order.size(); ++place) {
    this->Consider(context, place, best);
  }
}

void Placement::ConsiderSamples(const Context& context, Best& best) {
  // The places of the preferred candidates come first. Those that were drawn
  // are swapped to the front of their range, so that none is drawn twice.
  const auto draw = [&](size_t begin, size_t end, size_t samples) {
    const size_t drawn = std::min(begin + samples, end);
    for (size_t place = begin; place < drawn; ++place) {
      const size_t other = place + this->rng.Below(end - place);
      std::swap(this->order[place], this->order[other]);
      this->Consider(context, place, best);
    }
  };
  draw(0, context.preferred, this->options.preferred_samples);
  draw(context.preferred, this->order.size(), this->options.other_samples);

  // Upstreams that have the whole prompt, as in later requests of a session.
  if (!context.request.has_prompt) return;
  PrefixHashes hashes;
  const size_t count = HashPrefixes(context.request.parts, hashes);
  routing::PrefixMatch match;
  this->prefixes.Match({hashes.data(), count}, match);
  for (size_t i = 0; i < match.count; ++i) {
    if (match.holders[i].depth < count) continue;
    for (size_t place = 0; place < this->order.size(); ++place) {
      const uint32_t index = this->order[place].index;
      if (context.candidates[index]->number != match.holders[i].upstream) {
        continue;
      }
      this->Consider(context, place, best);
    }
  }
}

void Placement::Consider(const Context& context, size_t place, Best& best) {
  const FleetUpstreamPtr& upstream =
      context.candidates[this->order[place].index];
  const LoadEstimate load =
      upstream->Load(context.now, context.model.Typical());
  if (this->ExceedsMemory(context, *upstream, load)) return;

  const bool is_preferred = place < context.preferred;
  PlacementChoice choice = this->Assess(context, upstream, is_preferred, load);
  double cost = choice.expected_ms;
  if (context.request.has_prompt && !is_preferred) {
    const auto shared = static_cast<double>(
        std::min(context.shared_tokens, choice.uncached_tokens));
    cost +=
        this->options.displacement * context.us_per_token * shared / kUsPerMs;
  }
  if (upstream->entry.availability_zone != this->options.availability_zone) {
    cost += this->options.other_zone_ms;
  }
  cost += this->options.failure_ms * upstream->FailureRatio();
  cost += this->options.silence_weight *
          ToMilliseconds(upstream->Silence(context.now));
  cost *= 1 + this->options.noise * (1 + kStaleNoise * load.staleness) *
                  this->rng.Unit();
  const bool is_above_ramp =
      context.ramps_count && upstream->ramp.IsActive() &&
      !upstream->ramp.MaySend(
          context.now,
          this->RampStateOf(context.now, context.model, *upstream));
  if (is_above_ramp) cost += this->options.ramp_ms;
  if (best.choice && cost >= best.cost) return;
  best.cost = cost;
  best.is_above_ramp = is_above_ramp;
  best.choice = std::move(choice);
}

PlacementChoice Placement::Assess(const Context& context,
                                  const FleetUpstreamPtr& upstream,
                                  bool is_preferred,
                                  const LoadEstimate& load) const {
  const PlacementRequest& request = context.request;
  PlacementChoice choice = {.upstream = upstream,
                            .preferred = context.preferred,
                            .is_preferred = is_preferred,
                            .model = &context.model};
  choice.work = upstream->WorkFactor(context.now);
  choice.held_tokens = request.prompt_tokens + request.max_output_tokens;

  double cached = 0;
  if (request.has_prompt) {
    const auto shared = static_cast<double>(context.shared_tokens);
    cached = upstream->cache.ExpectedTokens(context.now, request.parts,
                                            context.retention);
    choice.unseen_tokens = std::max(0.0, shared - cached);
    // An upstream that has just started has nothing cached.
    Duration age = context.retention;
    if (upstream->seen_at.us != 0) {
      age = std::min(age, context.now - upstream->seen_at);
    }
    const double rate = is_preferred ? context.rate_at_preferred : 0;
    const double own_part =
        choice.unseen_tokens * context.model.UnseenHits() * ChanceOf(rate, age);
    const double common =
        age < context.retention
            ? 0
            : std::min(context.common_tokens, choice.unseen_tokens);
    choice.unseen_cached = std::max(own_part, common);
    cached += choice.unseen_cached;
  }
  choice.uncached_tokens = std::max<int64_t>(
      0, request.prompt_tokens - static_cast<int64_t>(cached));

  const double pending = std::max(static_cast<double>(upstream->pending_tokens),
                                  load.waiting * context.model.MeanUncached());
  const double beyond = std::max(load.waiting, load.requests + 1 - load.slots);
  const double hold_ms = ToMilliseconds(context.model.Typical().hold);
  choice.factors = {
      .uncached_tokens = static_cast<double>(choice.uncached_tokens) +
                         (request.has_prompt ? pending : 0),
      .requests = load.requests,
      .queued = std::max(0.0, beyond) * hold_ms / load.slots};
  choice.expected_ms = upstream->Slowness() * choice.work *
                       context.model.FirstToken().Expected(choice.factors) /
                       kUsPerMs;
  return choice;
}

bool Placement::ExceedsMemory(const Context& context,
                              const FleetUpstream& upstream,
                              const LoadEstimate& load) const {
  const int64_t memory = context.request.memory_tokens;
  if (memory <= 0 || !context.request.has_prompt) return false;
  const int64_t own = upstream.held_tokens + context.request.prompt_tokens +
                      context.request.max_output_tokens;
  // What waits for a slot takes no memory yet.
  double others = 0;
  if (upstream.ReportedRequests(context.now)) {
    others = std::max(
        0.0, std::min<double>(load.requests, load.slots) - upstream.InFlight());
  }
  return static_cast<double>(own) + others * context.model.MeanTokens() >
         static_cast<double>(memory);
}

RampState Placement::RampStateOf(TimePoint now, const ServiceModel& model,
                                 const FleetUpstream& upstream) const {
  return {.in_flight = upstream.InFlight(),
          .reported = upstream.ReportedRequests(now),
          .vms = static_cast<int>(this->vms),
          .hold = model.Typical().hold};
}

void Placement::OnSend(TimePoint now, const PlacementChoice& choice,
                       std::span<const PromptPart> parts) {
  FleetUpstream& upstream = *choice.upstream;
  upstream.ramp.OnSend();
  if (parts.empty()) return;
  upstream.cache.Use(parts, now);
  PrefixHashes hashes;
  const size_t count = HashPrefixes(parts, hashes);
  for (size_t i = 0; i < count; ++i) {
    this->prefixes.Add(hashes[i], upstream.number);
  }
}

void Placement::OnFirstToken(TimePoint now, const PlacementChoice& choice,
                             Duration observed) {
  FleetUpstream& upstream = *choice.upstream;
  if (choice.model == nullptr || choice.expected_ms <= 0) return;
  ServiceModel& model = *choice.model;
  const auto us = static_cast<double>(observed.count());
  const double expected_us = choice.expected_ms * kUsPerMs;
  const double ratio = us / expected_us;
  const bool is_late = ratio > model.LateRatio();
  model.OnRatio(ratio);
  if (is_late) {
    upstream.ramp.OnLate(now);
  } else {
    upstream.ramp.OnGood(now, this->RampStateOf(now, model, upstream));
  }

  const double bounded =
      expected_us *
      std::clamp(ratio, 1 / this->options.max_ratio, this->options.max_ratio);
  const double average_us =
      model.FirstToken().Expected(choice.factors) * choice.work;
  upstream.OnSuccess(now, bounded / average_us);
  model.OnFirstToken(choice.factors,
                     bounded / (upstream.Slowness() * choice.work));
  if (upstream.ReportedRequests(now)) {
    model.OnOthers(upstream.ReportedOthersPerSlot());
  }
  if (choice.unseen_tokens < kMinUnseenTokens || choice.unseen_cached <= 0) {
    return;
  }

  // The times that are expected if all or none of the unseen parts were cached.
  const double us_per_token =
      model.FirstToken().UsPerToken() * upstream.Slowness() * choice.work;
  const double without = expected_us + us_per_token * choice.unseen_cached;
  const double with = without - us_per_token * choice.unseen_tokens;
  if (us <= kMaxTellingRatio * without) {
    model.OnUnseenParts(us < (with + without) / 2);
  }
}

void Placement::OnOverdue(TimePoint now, const PlacementChoice& choice,
                          Duration waited) {
  if (choice.model == nullptr || choice.expected_ms <= 0) return;
  const double ratio = ToMilliseconds(waited) / choice.expected_ms;
  if (ratio <= choice.model->LateRatio()) return;
  choice.upstream->ramp.OnLate(now);
  const double bounded = std::min(ratio, this->options.max_ratio);
  choice.upstream->OnLate(bounded * choice.upstream->Slowness());
}

void Placement::OnComplete(const PlacementChoice& choice,
                           Duration after_first) {
  if (choice.model == nullptr) return;
  // The time to the first token without the wait for a slot, which would make
  // a queue seem longer the longer it is.
  const routing::FirstTokenFactors alone = {
      .uncached_tokens = static_cast<double>(choice.uncached_tokens)};
  const double first_us = choice.model->FirstToken().Expected(alone);
  choice.model->OnHold(after_first + Duration(static_cast<int64_t>(first_us)));
}

void Placement::OnEventInterval(const PlacementChoice& choice,
                                Duration interval) {
  if (choice.model == nullptr) return;
  const Duration typical = choice.model->OnEventInterval(interval);
  choice.upstream->OnEventInterval(interval, typical);
}

}  // namespace fuchsiadrum::serving
