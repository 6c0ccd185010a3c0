#include "bench/micro_limits.h"

#include <array>
#include <chrono>
#include <string>

#include "fuchsiadrum/serving/upstream_limits.h"
#include "schema/fleet.pb.h"

namespace fuchsiadrum::bench {
namespace {

constexpr std::array<int, 3> kLimitedUpstreams = {1, 10, 100};
constexpr int kRounds = 2000;
constexpr char kHolder[] = "front-bogota-a-1/1796400000000000";

/// Mean nanoseconds of one call.
template <class Call>
double Nanoseconds(int calls, Call call) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) call(i);
  const std::chrono::duration<double, std::nano> spent =
      std::chrono::steady_clock::now() - begin;
  return spent.count() / calls;
}

serving::SharedLimit Limit(int number) {
  serving::SharedLimit limit;
  limit.upstream = {.id = "i-" + std::to_string(1000000000 + number),
                    .started_unix_ms = 1796400000000};
  limit.service = "engine";
  limit.requests_per_s = 1.4;
  limit.shares[kHolder] = 1.4;
  return limit;
}

nlohmann::json MeasureUpstreams(int upstreams) {
  serving::UpstreamLimits limits({.holder = kHolder});
  TimePoint now{1'000'000'000};
  for (int i = 0; i < upstreams; ++i) limits.OnRecord(now, now, Limit(i));
  const double permit_ns = Nanoseconds(kRounds * upstreams, [&](int i) {
    now = now + std::chrono::microseconds(100);
    limits.OnRequest(now, "engine", 0);
    limits.TakePermit(now, Limit(i % upstreams).upstream, 0);
  });
  const double check_ns =
      Nanoseconds(kRounds, [&](int) { limits.IsUpdateDue(now, now); });
  const double record_ns = Nanoseconds(kRounds * upstreams, [&](int i) {
    limits.OnRecord(now, now, Limit(i % upstreams));
  });
  return {{"limited_upstreams", upstreams},
          {"permit_ns", permit_ns},
          {"check_ns", check_ns},
          {"record_ns", record_ns}};
}

/// Bytes of a limit's record with this many shares.
size_t LimitBytes(int shares) {
  pb::FleetRecord record;
  pb::UpstreamLimit& limit = *record.mutable_limit();
  limit.set_upstream("i-1000000000");
  limit.set_started_unix_ms(1796400000000);
  limit.set_service("engine");
  limit.set_requests_per_s(1.4);
  for (int i = 0; i < shares; ++i) {
    pb::LimitShare& share = *limit.add_shares();
    share.set_holder(kHolder);
    share.set_requests_per_s(0.4);
  }
  return record.ByteSizeLong();
}

size_t RenewalBytes() {
  pb::FleetRecord record;
  record.mutable_lease()->set_holder(kHolder);
  record.mutable_lease()->set_renewal(1000);
  return record.ByteSizeLong();
}

}  // namespace

nlohmann::json MeasureLimits() {
  nlohmann::json sizes = nlohmann::json::array();
  for (const int upstreams : kLimitedUpstreams) {
    sizes.push_back(MeasureUpstreams(upstreams));
  }
  return {{"upstreams", sizes},
          {"limit_bytes_1_share", LimitBytes(1)},
          {"limit_bytes_3_shares", LimitBytes(3)},
          {"renewal_bytes", RenewalBytes()}};
}

}  // namespace fuchsiadrum::bench
