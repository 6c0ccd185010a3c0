#include "fuchsiadrum/report/objective_recorder.h"

#include <algorithm>

namespace fuchsiadrum::report {
namespace {

bool IsWithin(Duration value, uint32_t limit_ms) {
  return value <= std::chrono::milliseconds(limit_ms);
}

}  // namespace

ObjectiveRecorder::ObjectiveRecorder(ObjectiveRecorderOptions options)
    : options(options) {}

void ObjectiveRecorder::SetObjectives(
    const std::vector<pb::Objective>& objectives) {
  this->objectives.Set(objectives);
}

void ObjectiveRecorder::Record(TimePoint now, std::string_view organisation,
                               pb::WorkClass work_class,
                               const RequestResult& result) {
  Series& series = this->SeriesOf(organisation, work_class);
  this->RollDistributions(now, series);
  Slot& slot = this->SlotOf(series, this->SlotNumber(now));
  const ObjectiveLimits limits =
      this->objectives.Find(organisation, work_class);
  const auto count = [&slot](Indicator indicator, bool good) {
    const auto i = static_cast<size_t>(indicator);
    ++(good ? slot.good : slot.bad)[i];
  };

  count(Indicator::kFalseRefusals, !result.false_refusal);
  if (!result.refused) count(Indicator::kCompleteness, result.complete);

  // A dispatched request that never got a first token misses the objective.
  if (result.first_token) series.present.first_token.Add(*result.first_token);
  if (limits.first_token_ms > 0 && !result.refused) {
    count(Indicator::kFirstToken,
          result.first_token &&
              IsWithin(*result.first_token, limits.first_token_ms));
  }
  if (!result.between_tokens) return;
  series.present.between_tokens.Add(*result.between_tokens);
  if (limits.between_tokens_ms > 0) {
    count(Indicator::kBetweenTokens,
          IsWithin(*result.between_tokens, limits.between_tokens_ms));
  }
}

pb::ObjectiveFigures ObjectiveRecorder::Export(TimePoint now,
                                               const VmInfo& self) const {
  pb::ObjectiveFigures out;
  *out.mutable_daemon() = self.ref.ToProto();
  out.set_availability_zone(self.availability_zone);
  out.set_layout(LatencyHistogram::kLayout);
  out.set_slot_s(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(this->options.slot)
          .count()));
  out.set_folded_series(this->folded);

  for (const auto& [key, series] : this->series) {
    pb::SeriesFigures& figures = *out.add_series();
    figures.set_organisation(key.first);
    figures.set_work_class(static_cast<pb::WorkClass>(key.second));
    this->ExportSlots(this->SlotNumber(now), series, figures);

    // Distributions older than two periods are not reported.
    const int64_t age = this->PeriodNumber(now) - series.period;
    Distributions sum;
    if (age <= 1) {
      sum.first_token.Merge(series.present.first_token);
      sum.between_tokens.Merge(series.present.between_tokens);
    }
    if (age <= 0) {
      sum.first_token.Merge(series.previous.first_token);
      sum.between_tokens.Merge(series.previous.between_tokens);
    }
    *figures.mutable_first_token() = sum.first_token.ToProto();
    *figures.mutable_between_tokens() = sum.between_tokens.ToProto();
  }
  return out;
}

ObjectiveRecorder::Series& ObjectiveRecorder::SeriesOf(
    std::string_view organisation, pb::WorkClass work_class) {
  Key key{std::string(organisation), static_cast<int>(work_class)};
  const auto found = this->series.find(key);
  if (found != this->series.end()) return found->second;

  // Room is kept for one series of each class under the common name.
  if (this->series.size() + pb::WorkClass_ARRAYSIZE >=
      this->options.most_series) {
    key.first = kOtherOrganisations;
    ++this->folded;
  }
  return this->series[key];
}

ObjectiveRecorder::Slot& ObjectiveRecorder::SlotOf(Series& series,
                                                   int64_t number) const {
  std::deque<Slot>& slots = series.slots;
  const int64_t oldest = number - this->options.slots + 1;
  while (!slots.empty() && slots.front().number < oldest) slots.pop_front();

  // After a step back of the clock, the newest slot goes on.
  if (slots.empty() || slots.back().number < number) {
    slots.push_back({.number = number});
  }
  return slots.back();
}

void ObjectiveRecorder::RollDistributions(TimePoint now, Series& series) const {
  const int64_t period = this->PeriodNumber(now);
  if (period <= series.period) return;
  if (period == series.period + 1) {
    std::swap(series.present, series.previous);
  } else {
    series.previous = Distributions{};
  }
  series.present = Distributions{};
  series.period = period;
}

void ObjectiveRecorder::ExportSlots(int64_t present, const Series& series,
                                    pb::SeriesFigures& out) const {
  for (auto slot = series.slots.rbegin(); slot != series.slots.rend(); ++slot) {
    const int64_t age = std::max<int64_t>(0, present - slot->number);
    if (age >= this->options.slots) break;
    pb::SlotCounts& counts = *out.add_slots();
    counts.set_age(static_cast<uint32_t>(age));
    for (size_t i = 0; i < kIndicators; ++i) {
      pb::IndicatorCounts& indicator = *counts.add_indicators();
      indicator.set_good(slot->good[i]);
      indicator.set_bad(slot->bad[i]);
    }
  }
}

int64_t ObjectiveRecorder::SlotNumber(TimePoint now) const {
  return now.us / this->options.slot.count();
}

int64_t ObjectiveRecorder::PeriodNumber(TimePoint now) const {
  return now.us / this->options.histogram_period.count();
}

}  // namespace fuchsiadrum::report
