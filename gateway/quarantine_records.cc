#include "gateway/quarantine_records.h"

#include <algorithm>
#include <string_view>

#include "schema/fleet.pb.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kCrashKeyPrefix = "crash/";
constexpr std::string_view kPartsKeyPrefix = "parts/";
/// Bounds on what a record of another writer may hold.
constexpr int kMaxRuns = 64;
constexpr int kMaxParts = 64;
constexpr int kMaxOrganisations = 64;

std::string Key(std::string_view prefix, std::string_view name) {
  return std::string(prefix).append(name);
}

store::KeyedRecord EncodeCrash(const serving::UpstreamCrash& crash) {
  pb::FleetRecord record;
  pb::CrashRecord& content = *record.mutable_crash();
  content.set_upstream(crash.upstream.id);
  content.set_started_unix_ms(crash.upstream.started_unix_ms);
  for (const serving::LostRun& run : crash.runs) {
    pb::LostRunRecord& item = *content.add_runs();
    item.set_request(run.request);
    item.set_organisation(run.organisation);
    item.set_has_begun(run.has_begun);
    item.mutable_parts()->Assign(run.parts.begin(), run.parts.end());
  }
  return {.key = Key(kCrashKeyPrefix, serving::CrashKey(crash.upstream)),
          .value = record.SerializeAsString()};
}

store::KeyedRecord EncodeQuarantine(const serving::Quarantine& quarantine) {
  pb::FleetRecord record;
  pb::QuarantineRecord& content = *record.mutable_quarantine();
  content.mutable_parts()->Assign(quarantine.parts.begin(),
                                  quarantine.parts.end());
  content.mutable_organisations()->Assign(quarantine.organisations.begin(),
                                          quarantine.organisations.end());
  content.set_crashes(quarantine.crashes);
  content.set_trials(quarantine.trials);
  content.set_trial_holder(quarantine.trial_holder);
  return {.key = Key(kPartsKeyPrefix, serving::QuarantineKey(quarantine.parts)),
          .value = record.SerializeAsString()};
}

std::optional<serving::UpstreamCrash> DecodeCrash(
    const pb::CrashRecord& content) {
  if (content.runs_size() > kMaxRuns) return std::nullopt;
  serving::UpstreamCrash crash;
  crash.upstream = {.id = content.upstream(),
                    .started_unix_ms = content.started_unix_ms()};
  for (const pb::LostRunRecord& item : content.runs()) {
    if (item.parts_size() > kMaxParts) return std::nullopt;
    serving::LostRun run;
    run.request = item.request();
    run.organisation = item.organisation();
    run.has_begun = item.has_begun();
    run.parts.assign(item.parts().begin(), item.parts().end());
    crash.runs.push_back(std::move(run));
  }
  return crash;
}

std::optional<serving::Quarantine> DecodeQuarantine(
    const pb::QuarantineRecord& content) {
  if (content.parts().empty() || content.parts_size() > kMaxParts ||
      content.organisations_size() > kMaxOrganisations ||
      content.trials() < 0) {
    return std::nullopt;
  }
  serving::Quarantine quarantine;
  quarantine.parts.assign(content.parts().begin(), content.parts().end());
  quarantine.organisations.assign(content.organisations().begin(),
                                  content.organisations().end());
  std::ranges::sort(quarantine.parts);
  std::ranges::sort(quarantine.organisations);
  quarantine.crashes = content.crashes();
  quarantine.trials = content.trials();
  quarantine.trial_holder = content.trial_holder();
  return quarantine;
}

}  // namespace

std::vector<store::KeyedRecord> EncodeQuarantineUpdate(
    const serving::QuarantineUpdate& update) {
  std::vector<store::KeyedRecord> records;
  for (const serving::UpstreamCrash& crash : update.crashes) {
    records.push_back(EncodeCrash(crash));
  }
  for (const std::string& key : update.ended_crashes) {
    records.push_back({.key = Key(kCrashKeyPrefix, key)});
  }
  for (const std::string& key : update.ended_quarantines) {
    records.push_back({.key = Key(kPartsKeyPrefix, key)});
  }
  for (const serving::Quarantine& quarantine : update.quarantines) {
    records.push_back(EncodeQuarantine(quarantine));
  }
  return records;
}

std::optional<QuarantineStreamEvent> DecodeQuarantineRecord(
    const store::KeyedRecord& record) {
  const bool is_crash = record.key.starts_with(kCrashKeyPrefix);
  const bool is_parts = record.key.starts_with(kPartsKeyPrefix);
  if (!is_crash && !is_parts) return std::nullopt;
  const std::string name = record.key.substr(is_crash ? kCrashKeyPrefix.size()
                                                      : kPartsKeyPrefix.size());
  if (!record.value) {
    if (is_crash) return CrashDeleted{name};
    return QuarantineDeleted{name};
  }
  pb::FleetRecord content;
  if (!content.ParseFromString(*record.value)) return std::nullopt;
  if (is_crash && content.has_crash()) {
    const auto crash = DecodeCrash(content.crash());
    if (crash && serving::CrashKey(crash->upstream) == name) return *crash;
  }
  if (is_parts && content.has_quarantine()) {
    const auto quarantine = DecodeQuarantine(content.quarantine());
    if (quarantine && serving::QuarantineKey(quarantine->parts) == name) {
      return *quarantine;
    }
  }
  return std::nullopt;
}

}  // namespace fuchsiadrum::gateway
