#include "gateway/limit_records.h"

#include <string_view>

#include "schema/fleet.pb.h"

namespace fuchsiadrum::gateway {
namespace {

constexpr std::string_view kLimitKeyPrefix = "limit/";
constexpr std::string_view kLeaseKeyPrefix = "lease/";

std::string Key(std::string_view prefix, std::string_view name) {
  return std::string(prefix).append(name);
}

store::KeyedRecord EncodeLimit(const serving::SharedLimit& limit) {
  pb::FleetRecord record;
  pb::UpstreamLimit& content = *record.mutable_limit();
  content.set_upstream(limit.upstream.id);
  content.set_started_unix_ms(limit.upstream.started_unix_ms);
  content.set_service(limit.service);
  content.set_requests_per_s(limit.requests_per_s);
  for (const auto& [holder, requests_per_s] : limit.shares) {
    pb::LimitShare& share = *content.add_shares();
    share.set_holder(holder);
    share.set_requests_per_s(requests_per_s);
  }
  return {.key = Key(kLimitKeyPrefix, limit.upstream.id),
          .value = record.SerializeAsString()};
}

store::KeyedRecord EncodeLease(const std::string& holder, uint64_t renewal) {
  pb::FleetRecord record;
  record.mutable_lease()->set_holder(holder);
  record.mutable_lease()->set_renewal(renewal);
  return {.key = Key(kLeaseKeyPrefix, holder),
          .value = record.SerializeAsString()};
}

serving::SharedLimit DecodeLimit(const pb::UpstreamLimit& content) {
  serving::SharedLimit limit;
  limit.upstream = {.id = content.upstream(),
                    .started_unix_ms = content.started_unix_ms()};
  limit.service = content.service();
  limit.requests_per_s = content.requests_per_s();
  for (const pb::LimitShare& share : content.shares()) {
    limit.shares[share.holder()] = share.requests_per_s();
  }
  return limit;
}

}  // namespace

std::vector<store::KeyedRecord> EncodeLimitUpdate(
    const serving::LimitUpdate& update, const std::string& holder) {
  std::vector<store::KeyedRecord> records;
  if (update.renewal > 0) {
    records.push_back(EncodeLease(holder, update.renewal));
  }
  for (const serving::SharedLimit& limit : update.changed) {
    records.push_back(EncodeLimit(limit));
  }
  for (const std::string& upstream : update.deleted) {
    records.push_back({.key = Key(kLimitKeyPrefix, upstream)});
  }
  for (const std::string& ended : update.ended_holders) {
    records.push_back({.key = Key(kLeaseKeyPrefix, ended)});
  }
  return records;
}

std::optional<LimitEvent> DecodeLimitRecord(const store::KeyedRecord& record) {
  const bool is_limit = record.key.starts_with(kLimitKeyPrefix);
  const bool is_lease = record.key.starts_with(kLeaseKeyPrefix);
  if (!record.value) {
    if (is_limit) {
      return LimitDeleted{record.key.substr(kLimitKeyPrefix.size())};
    }
    if (is_lease) {
      return LeaseDeleted{record.key.substr(kLeaseKeyPrefix.size())};
    }
    return std::nullopt;
  }
  pb::FleetRecord content;
  if (!content.ParseFromString(*record.value)) return std::nullopt;
  if (is_limit && content.has_limit()) return DecodeLimit(content.limit());
  if (is_lease && content.has_lease()) {
    return LeaseRenewed{.holder = content.lease().holder(),
                        .renewal = content.lease().renewal()};
  }
  return std::nullopt;
}

}  // namespace fuchsiadrum::gateway
