#include "fuchsiadrum/report/burn_report.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cstdio>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::report {
namespace {

/// Largest count of one slot that is believed; more would overflow sums.
constexpr uint64_t kMostInSlot = uint64_t{1} << 50U;

template <typename... Args>
std::string Format(const char* format, Args... args) {
  std::array<char, 256> buffer{};
  std::snprintf(buffer.data(), buffer.size(), format, args...);
  return buffer.data();
}

std::string Join(const google::protobuf::RepeatedPtrField<std::string>& names) {
  std::string out;
  for (const std::string& name : names) out += (out.empty() ? "" : ", ") + name;
  return out;
}

/// Burn rate: share of bad events against the share that the target allows.
double BurnRate(std::pair<uint64_t, uint64_t> bad_good, double target) {
  const auto [bad, good] = bad_good;
  if (bad == 0) return 0;
  constexpr double kLeastBudget = 1e-6;
  const double ratio =
      static_cast<double>(bad) / static_cast<double>(bad + good);
  return ratio / std::max(1.0 - target, kLeastBudget);
}

void AppendIndicatorText(const pb::BurnIndicator& indicator, std::string& out) {
  const uint64_t all = indicator.bad() + indicator.good();
  out += Format("    %-15s target %.2f%%", indicator.name().c_str(),
                100 * indicator.target_ratio());
  out +=
      "  bad " + std::to_string(indicator.bad()) + " of " + std::to_string(all);
  for (const pb::BurnWindow& window : indicator.windows()) {
    out += Format("  burn %um/%um %.2f/%.2f%s", window.short_s() / 60,
                  window.long_s() / 60, window.short_burn(), window.long_burn(),
                  window.firing() ? " FIRING" : "");
  }
  out += "\n";
}

}  // namespace

BurnReport::BurnReport(BurnReportOptions options)
    : options(std::move(options)) {}

void BurnReport::SetObjectives(const std::vector<pb::Objective>& objectives) {
  this->objectives.Set(objectives);
}

void BurnReport::Expect(std::vector<std::string> daemons) {
  this->expected = std::move(daemons);
  std::sort(this->expected.begin(), this->expected.end());
}

bool BurnReport::Add(const pb::ObjectiveFigures& figures) {
  const std::string& daemon = figures.daemon().vm();
  if (figures.layout() != LatencyHistogram::kLayout || figures.slot_s() == 0 ||
      (this->slot_s != 0 && figures.slot_s() != this->slot_s)) {
    return this->Refuse(daemon, "figures have another layout");
  }
  if (std::find(this->added.begin(), this->added.end(), daemon) !=
      this->added.end()) {
    this->reason = {"report", daemon, "figures were added already"};
    return false;
  }

  // Check everything before anything is merged.
  std::map<Key, Series> parsed;
  for (const pb::SeriesFigures& one : figures.series()) {
    const Key key{one.organisation(), static_cast<int>(one.work_class())};
    if (!Parse(one, parsed[key])) {
      return this->Refuse(daemon, "figures are malformed");
    }
  }
  for (const auto& [key, one] : parsed) MergeSeries(one, this->series[key]);
  this->slot_s = figures.slot_s();
  this->added.push_back(daemon);
  std::sort(this->added.begin(), this->added.end());
  return true;
}

pb::BurnFigures BurnReport::Figures() const {
  pb::BurnFigures out;
  for (const std::string& name : this->added) out.add_daemons(name);
  for (const std::string& name : this->refused) out.add_refused(name);
  for (const std::string& name : this->expected) {
    if (!std::binary_search(this->added.begin(), this->added.end(), name)) {
      out.add_missing(name);
    }
  }
  out.set_history_part_s(this->SlotsIn(this->options.history_part) *
                         this->slot_s);

  for (const auto& [key, series] : this->series) {
    const auto work_class = static_cast<pb::WorkClass>(key.second);
    const ObjectiveLimits limits = this->objectives.Find(key.first, work_class);
    pb::BurnSeries& one = *out.add_series();
    one.set_organisation(key.first);
    one.set_work_class(work_class);
    one.set_first_token_ms(limits.first_token_ms);
    one.set_between_tokens_ms(limits.between_tokens_ms);
    one.set_first_token_p50_ms(series.first_token.QuantileMs(0.5));
    one.set_first_token_p95_ms(series.first_token.QuantileMs(0.95));
    one.set_first_token_p99_ms(series.first_token.QuantileMs(0.99));
    one.set_between_tokens_p95_ms(series.between_tokens.QuantileMs(0.95));
    for (size_t i = 0; i < kIndicators; ++i) {
      const auto indicator = static_cast<Indicator>(i);
      this->AddIndicator(series, indicator, this->Target(indicator, limits),
                         one);
    }
    for (const pb::BurnIndicator& indicator : one.indicators()) {
      for (const pb::BurnWindow& window : indicator.windows()) {
        out.set_firing(out.firing() + (window.firing() ? 1 : 0));
      }
    }
  }
  return out;
}

std::string BurnReport::ToText() const {
  const pb::BurnFigures figures = this->Figures();
  std::string out = Format("burn report: %d daemons, %u firing\n",
                           figures.daemons_size(), figures.firing());
  if (figures.missing_size() > 0) {
    out += "missing figures of: " + Join(figures.missing()) + "\n";
  }
  if (figures.refused_size() > 0) {
    out += "refused figures of: " + Join(figures.refused()) + "\n";
  }
  for (const pb::BurnSeries& series : figures.series()) {
    out += "  " + series.organisation() + " " +
           pb::WorkClass_Name(series.work_class()) +
           Format(
               ": first token p50 %.0f, p95 %.0f, p99 %.0f ms; between "
               "tokens p95 %.1f ms\n",
               series.first_token_p50_ms(), series.first_token_p95_ms(),
               series.first_token_p99_ms(), series.between_tokens_p95_ms());
    for (const pb::BurnIndicator& indicator : series.indicators()) {
      if (indicator.good() + indicator.bad() == 0) continue;
      AppendIndicatorText(indicator, out);
    }
  }
  return out;
}

std::string BurnReport::ToJson() const {
  google::protobuf::util::JsonPrintOptions print;
  print.always_print_primitive_fields = true;
  print.preserve_proto_field_names = true;
  std::string out;
  const auto status =
      google::protobuf::util::MessageToJsonString(this->Figures(), &out, print);
  return status.ok() ? out : "{}";
}

bool BurnReport::Refuse(const std::string& daemon, const char* text) {
  this->reason = {"report", daemon, text};
  if (std::find(this->refused.begin(), this->refused.end(), daemon) ==
      this->refused.end()) {
    this->refused.push_back(daemon);
  }
  return false;
}

bool BurnReport::Parse(const pb::SeriesFigures& figures, Series& out) {
  for (const pb::SlotCounts& slot : figures.slots()) {
    if (slot.indicators_size() != static_cast<int>(kIndicators)) return false;
    Counts& counts = out.slots[slot.age()];
    for (size_t i = 0; i < kIndicators; ++i) {
      const pb::IndicatorCounts& one = slot.indicators(static_cast<int>(i));
      if (one.good() > kMostInSlot || one.bad() > kMostInSlot) return false;
      counts.good[i] += one.good();
      counts.bad[i] += one.bad();
    }
  }
  return out.first_token.Merge(figures.first_token()) &&
         out.between_tokens.Merge(figures.between_tokens());
}

void BurnReport::MergeSeries(const Series& from, Series& into) {
  for (const auto& [age, counts] : from.slots) {
    Counts& sum = into.slots[age];
    for (size_t i = 0; i < kIndicators; ++i) {
      sum.good[i] += counts.good[i];
      sum.bad[i] += counts.bad[i];
    }
  }
  into.first_token.Merge(from.first_token);
  into.between_tokens.Merge(from.between_tokens);
}

uint32_t BurnReport::SlotsIn(Duration window) const {
  if (this->slot_s == 0) return 1;
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(window).count();
  return std::max<uint32_t>(1, static_cast<uint32_t>(seconds) / this->slot_s);
}

std::pair<uint64_t, uint64_t> BurnReport::Sum(const Series& series, size_t i,
                                              uint32_t from, uint32_t to) {
  uint64_t bad = 0;
  uint64_t good = 0;
  for (auto slot = series.slots.lower_bound(from);
       slot != series.slots.end() && slot->first < to; ++slot) {
    bad += slot->second.bad[i];
    good += slot->second.good[i];
  }
  return {bad, good};
}

double BurnReport::Target(Indicator indicator,
                          const ObjectiveLimits& limits) const {
  switch (indicator) {
    case Indicator::kCompleteness:
      return this->options.completeness_target;
    case Indicator::kFalseRefusals:
      return this->options.false_refusal_target;
    case Indicator::kFirstToken:
    case Indicator::kBetweenTokens:
      break;
  }
  return limits.target_ratio;
}

Duration BurnReport::LongestWindow() const {
  Duration longest = this->options.history_part;
  for (const BurnWindowOptions& window : this->options.windows) {
    longest = std::max(longest, window.long_window);
  }
  return longest;
}

void BurnReport::AddIndicator(const Series& series, Indicator indicator,
                              double target, pb::BurnSeries& out) const {
  const auto i = static_cast<size_t>(indicator);
  const uint32_t slots = this->SlotsIn(this->LongestWindow());
  const auto [bad, good] = Sum(series, i, 0, slots);
  pb::BurnIndicator& one = *out.add_indicators();
  one.set_name(std::string(kIndicatorNames[i]));
  one.set_target_ratio(target);
  one.set_good(good);
  one.set_bad(bad);

  for (const BurnWindowOptions& window : this->options.windows) {
    const uint32_t short_slots = this->SlotsIn(window.short_window);
    const uint32_t long_slots = this->SlotsIn(window.long_window);
    pb::BurnWindow& burn = *one.add_windows();
    burn.set_short_s(short_slots * this->slot_s);
    burn.set_long_s(long_slots * this->slot_s);
    burn.set_threshold(window.threshold);
    burn.set_short_burn(BurnRate(Sum(series, i, 0, short_slots), target));
    burn.set_long_burn(BurnRate(Sum(series, i, 0, long_slots), target));
    burn.set_firing(burn.short_burn() > window.threshold &&
                    burn.long_burn() > window.threshold);
  }

  const uint32_t part = this->SlotsIn(this->options.history_part);
  for (uint32_t parts = slots / part; parts > 0; --parts) {
    const auto [part_bad, part_good] =
        Sum(series, i, (parts - 1) * part, parts * part);
    const double all = static_cast<double>(part_bad + part_good);
    one.add_history(all > 0 ? static_cast<double>(part_bad) / all : -1.0);
  }
}

}  // namespace fuchsiadrum::report
