#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "gateway/clock.h"
#include "tests/platform/platform_fixture.h"
#include "tests/serving/limit_rule.h"

namespace fuchsiadrum::gateway {
namespace {

/// Upstream that names a limit in each answer and records what arrives.
class LimitingUpstream {
 public:
  explicit LimitingUpstream(double requests_per_s)
      : rule(serving::LimitRuleOptions()),
        server([this](const HttpRequest& request, auto&) {
          return this->Answer(request);
        }) {
    this->Name(requests_per_s);
  }

  void Name(std::optional<double> requests_per_s) {
    const std::lock_guard lock(this->mutex);
    this->limit = requests_per_s;
    this->rule.OnNamed(Now(), requests_per_s);
  }
  /// From now on answers have neither a signature nor a limit.
  void Garble() {
    const std::lock_guard lock(this->mutex);
    this->garbled = true;
  }
  const LoopbackServer& Server() const { return this->server; }
  /// What has arrived so far.
  serving::LimitRule Rule() {
    const std::lock_guard lock(this->mutex);
    return this->rule;
  }

 private:
  std::optional<HttpAnswer> Answer(const HttpRequest& request) {
    const std::lock_guard lock(this->mutex);
    const std::string id(request["Attempt-Id"]);
    const std::string vm = id.substr(0, id.find('/'));
    this->rule.OnArrival(Now(), vm);
    HttpAnswer answer(http::status::ok, 11);
    answer.set("Attempt-Id", id);
    if (this->garbled) return answer;
    answer.set("Runner-Signature", "s1");
    if (this->limit) {
      this->rule.OnTold(Now(), vm);
      answer.set("Server-Limit", std::to_string(*this->limit));
    }
    answer.body() = "booked";
    return answer;
  }

  std::mutex mutex;
  std::optional<double> limit;
  bool garbled = false;
  serving::LimitRule rule;
  LoopbackServer server;
};

/// Several gateways with one store, before upstreams that name limits.
class UpstreamLimitTest : public PlatformFixture {
 protected:
  /// Handler of an upstream without a limit. It is slower than the limited one,
  /// so that placement prefers the latter.
  static std::optional<HttpAnswer> BookSlowly(const HttpRequest& request,
                                              Tcp::socket& /*socket*/) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    HttpAnswer answer = Signed(request);
    answer.body() = "booked";
    return answer;
  }

  void StartFleet(int vms) {
    this->StartGateway();
    for (int i = 2; i <= vms; ++i) this->StartVm("vm-" + std::to_string(i));
  }

  /// Sends one request to VM `index`, counted from 0.
  HttpAnswer CallVm(size_t index) {
    const Gateway* vm = this->Vms()[index];
    HttpRequest request = Request("/book/robes");
    request.set("Attempt-Id", "vm-" + std::to_string(index + 1) + "/" +
                                  std::to_string(++this->calls));
    return this->Call(vm->CallersPort(), request);
  }

  /// Sends requests to all VMs for this time, about 40 a second to each.
  /// Returns the number of those that were not answered with success.
  int CallAllVms(Duration time) {
    std::atomic<int> refused{0};
    std::vector<std::thread> callers;
    const TimePoint end = Now() + time;
    for (size_t i = 0; i < this->Vms().size(); ++i) {
      callers.emplace_back([this, i, end, &refused] {
        while (Now() < end) {
          if (this->CallVm(i).result_int() != 200) ++refused;
          std::this_thread::sleep_for(std::chrono::milliseconds(25));
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
    return refused;
  }

  std::atomic<int> calls{0};
};

// LIMIT: each VM stays below the limit that the upstream has named, and the sum
// over all VMs exceeds it.
TEST_F(UpstreamLimitTest, LimitedUpstream_GetsItsLimitFromAllVmsTogether) {
  constexpr double kLimit = 2.4;
  constexpr Duration kTime = std::chrono::seconds(9);
  LimitingUpstream limited(kLimit);
  LoopbackServer other(BookSlowly);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", limited.Server());
  this->PutUpstream("u2", other);
  this->StartFleet(3);

  const TimePoint begin = Now();
  const int refused = this->CallAllVms(kTime);

  const auto breach = limited.Rule().WorstBreach();
  EXPECT_FALSE(breach) << breach->requests << " requests in 4 s, allowed "
                       << breach->allowed;
  // The other upstream takes the rest, and the limited one what it may take.
  EXPECT_EQ(refused, 0);
  EXPECT_GE(limited.Rule().Arrivals(begin, Now()),
            0.7 * kLimit * ToSeconds(kTime));
}

// LIMIT: a VM that no answer has told of the limit learns of it from the
// others, before it sends its first request.
TEST_F(UpstreamLimitTest, VmThatWasNotTold_KeepsTheLimitOfTheFleet) {
  LimitingUpstream limited(0.4);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", limited.Server());
  this->StartFleet(2);

  EXPECT_EQ(this->CallVm(0).result_int(), 200U);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const TimePoint told = Now();
  const HttpAnswer refused = this->CallVm(1);
  EXPECT_EQ(refused.result_int(), 503U);
  EXPECT_EQ(limited.Rule().Arrivals(told, Now()), 0U);
}

// A request that no upstream may take is refused at once, and told when to come
// back.
TEST_F(UpstreamLimitTest, AllUpstreamsLimited_RefusesAtOnceWithRetryAfter) {
  LimitingUpstream limited(2.0);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", limited.Server());
  this->StartFleet(1);
  EXPECT_EQ(this->CallVm(0).result_int(), 200U);

  const TimePoint begin = Now();
  const HttpAnswer refused = this->CallVm(0);
  EXPECT_LT(Now() - begin, std::chrono::milliseconds(100));
  EXPECT_EQ(refused.result_int(), 503U);
  const double retry_after =
      std::stod("0" + std::string(refused["Retry-After"]));
  EXPECT_GT(retry_after, 0.0);
  EXPECT_LE(retry_after, 0.6);

  int served = 0;
  for (int i = 0; i < 4; ++i) {
    std::this_thread::sleep_for(
        std::chrono::duration<double>(retry_after + 0.1));
    served += this->CallVm(0).result_int() == 200 ? 1 : 0;
  }
  EXPECT_GE(served, 3);
}

TEST_F(UpstreamLimitTest, WithdrawnLimit_NoLongerBindsAnyVm) {
  LimitingUpstream limited(4.0);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", limited.Server());
  this->StartFleet(2);
  this->CallAllVms(std::chrono::seconds(2));
  limited.Name(std::nullopt);
  this->CallAllVms(std::chrono::seconds(2));

  EXPECT_EQ(this->CallAllVms(std::chrono::seconds(1)), 0);
}

// An answer without a signature may not be the upstream's own words.
TEST_F(UpstreamLimitTest, GarbledAnswerWithoutLimit_DoesNotWithdrawIt) {
  LimitingUpstream limited(1.0);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", limited.Server());
  this->StartFleet(1);
  EXPECT_EQ(this->CallVm(0).result_int(), 200U);
  limited.Garble();
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  EXPECT_EQ(this->CallVm(0).result_int(), 502U);

  const TimePoint begin = Now();
  EXPECT_EQ(this->CallVm(0).result_int(), 503U);
  EXPECT_EQ(limited.Rule().Arrivals(begin, Now()), 0U);
}

// LIMIT: the shares of a VM that was killed are used by others, and a VM in its
// place gets no additional ones.
TEST_F(UpstreamLimitTest, KilledAndReplacedVms_TogetherKeepTheLimit) {
  constexpr double kLimit = 3.0;
  LimitingUpstream limited(kLimit);
  LoopbackServer other(BookSlowly);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", limited.Server());
  this->PutUpstream("u2", other);
  this->StartFleet(3);
  this->CallAllVms(std::chrono::seconds(5));
  this->StopVm(this->Vms().back());
  this->StartVm("vm-4");
  EXPECT_EQ(this->CallAllVms(std::chrono::seconds(5)), 0);

  const auto breach = limited.Rule().WorstBreach();
  EXPECT_FALSE(breach) << breach->requests << " requests in 4 s, allowed "
                       << breach->allowed;
}

// LIMIT: without the store no VM claims a share; the requests go to the other
// upstream.
TEST_F(UpstreamLimitTest, StoreThatRefusesAllVms_LeavesTheLimitKept) {
  LimitingUpstream limited(1.4);
  LoopbackServer other(BookSlowly);
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", limited.Server());
  this->PutUpstream("u2", other);
  this->StartFleet(3);
  this->store.refusing = true;
  EXPECT_EQ(this->CallAllVms(std::chrono::seconds(6)), 0);

  const auto breach = limited.Rule().WorstBreach();
  EXPECT_FALSE(breach) << breach->requests << " requests in 4 s, allowed "
                       << breach->allowed;
}

}  // namespace
}  // namespace fuchsiadrum::gateway
