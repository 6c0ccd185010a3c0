#include "gateway/version_records.h"

#include <string_view>

#include "schema/fleet.pb.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kServiceKeyPrefix = "service/";
constexpr std::string_view kStreamKeyPrefix = "stream/";
/// Bound on what a record of another writer may hold.
constexpr int kMaxVersions = 64;

std::string Key(std::string_view prefix, std::string_view name) {
  return std::string(prefix).append(name);
}

}  // namespace

store::KeyedRecord EncodeServiceVersions(
    const serving::ServiceVersions& versions) {
  pb::FleetRecord record;
  pb::ServiceVersions& content = *record.mutable_versions();
  content.set_service(versions.service);
  content.set_base(versions.base);
  for (const std::string& other : versions.others) content.add_others(other);
  return {.key = Key(kServiceKeyPrefix, versions.service),
          .value = record.SerializeAsString()};
}

store::KeyedRecord EncodeStreamStart(const std::string& attempt,
                                     const serving::StreamOrigin& origin) {
  pb::FleetRecord record;
  pb::StreamStart& content = *record.mutable_stream();
  content.set_service(origin.service);
  content.set_version(origin.version);
  return {.key = Key(kStreamKeyPrefix, attempt),
          .value = record.SerializeAsString()};
}

store::KeyedRecord EncodeStreamEnd(const std::string& attempt) {
  return {.key = Key(kStreamKeyPrefix, attempt)};
}

std::optional<VersionEvent> DecodeVersionRecord(
    const store::KeyedRecord& record) {
  const bool is_service = record.key.starts_with(kServiceKeyPrefix);
  const bool is_stream = record.key.starts_with(kStreamKeyPrefix);
  if (!is_service && !is_stream) return std::nullopt;
  const std::string name = record.key.substr(
      is_service ? kServiceKeyPrefix.size() : kStreamKeyPrefix.size());
  if (!record.value || record.value->empty()) {
    if (is_service) return ServiceVersionsDeleted{name};
    return StreamStartDeleted{name};
  }
  pb::FleetRecord content;
  if (!content.ParseFromString(*record.value)) return std::nullopt;
  if (is_service && content.has_versions() &&
      content.versions().service() == name &&
      content.versions().others_size() <= kMaxVersions) {
    const pb::ServiceVersions& listed = content.versions();
    return serving::ServiceVersions{
        .service = name,
        .base = listed.base(),
        .others = {listed.others().begin(), listed.others().end()}};
  }
  if (is_stream && content.has_stream()) {
    return StreamStarted{.attempt = name,
                         .origin = {.service = content.stream().service(),
                                    .version = content.stream().version()}};
  }
  return std::nullopt;
}

}  // namespace fuchsiadrum::gateway
