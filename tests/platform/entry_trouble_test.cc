#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <utility>
#include <vector>

#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// A gateway whose list of upstreams holds entries of another writer.
class EntryTroubleTest : public PlatformFixture {
 protected:
  using Entry = std::pair<std::string, std::string>;

  static nlohmann::json Valid(const std::string& address) {
    return {{"service", "engine"}, {"address", address},
            {"zone", "a"},         {"slots", 8},
            {"state", "ready"},    {"born", 1700000000000},
            {"sequence", 4},       {"cold_left_ms", 0}};
  }
  static std::string With(nlohmann::json entry, const std::string& field,
                          const std::string& value) {
    entry.erase(field);
    std::string text = entry.dump();
    text.back() = ',';
    return text + "\"" + field + "\":" + value + "}";
  }
  static std::string Nested(size_t depth, char open, char close) {
    return std::string(depth, open) + std::string(depth, close);
  }

  /// Entries that name no upstream to use, at the address of a live one.
  static std::vector<Entry> OddEntries(const std::string& address) {
    const nlohmann::json valid = Valid(address);
    constexpr size_t kDepth = 100000;
    return {
        {"nested", Nested(kDepth, '[', ']')},
        {"unclosed", std::string(kDepth, '[')},
        {"nested-field", With(valid, "zone", Nested(kDepth, '[', ']'))},
        {"nested-extra", With(valid, "note", Nested(kDepth, '[', ']')) + "]"},
        {"slots-overflow", With(valid, "slots", "1e400")},
        {"slots-large", With(valid, "slots", "1e30")},
        {"slots-int64", With(valid, "slots", "9223372036854775808")},
        {"slots-negative", With(valid, "slots", "-3")},
        {"slots-text", With(valid, "slots", "\"8\"")},
        {"born-large", With(valid, "born", "1e300")},
        {"born-part", With(valid, "born", "1700000000000.5")},
        {"port-large", With(valid, "address", "\"127.0.0.1:70000\"")},
        {"port-huge",
         With(valid, "address", "\"127.0.0.1:99999999999999999999\"")},
        {"port-zero", With(valid, "address", "\"127.0.0.1:0\"")},
        {"port-negative", With(valid, "address", "\"127.0.0.1:-1\"")},
        {"port-missing", With(valid, "address", "\"127.0.0.1\"")},
        {"no-ip", With(valid, "address", "\"localhost:80\"")},
        {"bytes", "\xff\xfe\x80 not text"},
        {"empty-object", "{}"},
        {"list", "[1,2,3]"},
        {"null", "null"},
        {"long", "\"" + std::string(200000, 'x') + "\""},
        {"", valid.dump()},
        {std::string(255, '\xc3'), valid.dump()},
        {"u9\r\nTenant: other", valid.dump()},
        {"two words", valid.dump()}};
  }

  void Delete(const std::string& id) {
    this->store.Put(kTopicUpstreams, id, "");
  }

  /// Sends bookings until one is answered with success, for at most 2 s.
  bool IsServed() {
    for (int i = 0; i < 100; ++i) {
      if (this->Call(Request("/book/robes")).result_int() == 200U) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  /// Value of a metric of the gateway without labels.
  std::string Metric(const std::string& name) {
    const HttpAnswer page =
        this->Call(this->gateway->MetricsPort(),
                   HttpRequest(http::verb::get, "/metrics", 11));
    const std::string line = "fuchsiadrum_gateway_" + name + " ";
    const size_t at = page.body().find("\n" + line);
    if (at == std::string::npos) return "";
    const size_t begin = at + 1 + line.size();
    return page.body().substr(begin, page.body().find('\n', begin) - begin);
  }

  /// Handler that counts and runs every request.
  LoopbackServer::Handler Counting(std::atomic<int>& count) {
    return [&count](const HttpRequest& request, auto&) {
      ++count;
      HttpAnswer answer = Signed(request);
      answer.body() = "booked";
      return std::optional(answer);
    };
  }
};

// LOST: one odd entry ends the gateways that read the list, or the list is not
// followed any further.
TEST_F(EntryTroubleTest, OddEntries_NameNoUpstream_AndTheListIsFollowed) {
  std::atomic<int> runs{0};
  std::atomic<int> odd_runs{0};
  LoopbackServer upstream(this->Counting(runs));
  LoopbackServer named_by_odd_entries(this->Counting(odd_runs));
  this->PutConfig(1, 100000);
  this->StartGateway();
  for (const auto& [id, value] : OddEntries(named_by_odd_entries.Address())) {
    this->store.Put(kTopicUpstreams, id, value);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  EXPECT_EQ(this->Metric("upstreams"), "0");
  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 503U);

  this->PutUpstream("u1", upstream);
  EXPECT_TRUE(this->IsServed());
  EXPECT_EQ(this->Metric("upstreams"), "1");
  EXPECT_EQ(odd_runs, 0);
}

// The same for a gateway that starts while the entries are there.
TEST_F(EntryTroubleTest, OddEntries_BeforeTheStart_DoNotKeepItFromStarting) {
  std::atomic<int> runs{0};
  std::atomic<int> odd_runs{0};
  LoopbackServer upstream(this->Counting(runs));
  LoopbackServer named_by_odd_entries(this->Counting(odd_runs));
  this->PutConfig(1, 100000);
  for (const auto& [id, value] : OddEntries(named_by_odd_entries.Address())) {
    // The fake store's pages are JSON, which has only valid text.
    if (id.find('\xc3') == std::string::npos) {
      this->store.Put(kTopicUpstreams, id, value);
    }
  }
  this->PutUpstream("u1", upstream);
  this->StartGateway();

  EXPECT_EQ(this->Metric("upstreams"), "1");
  EXPECT_TRUE(this->IsServed());
  EXPECT_EQ(odd_runs, 0);
}

// ROUTE: an entry of another writer, with fields missing or of another type,
// names no upstream to use.
TEST_F(EntryTroubleTest, EntryWithMistypedFields_NamesNoUpstream) {
  std::atomic<int> odd_runs{0};
  LoopbackServer odd(this->Counting(odd_runs));
  const nlohmann::json valid = Valid(odd.Address());
  nlohmann::json without_slots = valid;
  without_slots.erase("slots");
  this->PutConfig(1, 100000);
  this->store.Put(kTopicUpstreams, "o1", With(valid, "sequence", "\"4\""));
  this->store.Put(kTopicUpstreams, "o2", With(valid, "cold_left_ms", "[]"));
  this->store.Put(kTopicUpstreams, "o3", without_slots.dump());
  this->StartGateway();

  EXPECT_EQ(this->Metric("upstreams"), "0");
  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 503U);
  EXPECT_EQ(odd_runs, 0);
}

// An odd entry under the id of an upstream in use names no upstream any more,
// until the upstream writes its own again.
TEST_F(EntryTroubleTest, OddEntry_InPlaceOfAnUpstream_RemovesItUntilItsOwn) {
  std::atomic<int> runs{0};
  LoopbackServer upstream(this->Counting(runs));
  this->PutConfig(1, 100000);
  this->PutUpstream("u1", upstream);
  this->StartGateway();
  ASSERT_TRUE(this->IsServed());

  this->store.Put(kTopicUpstreams, "u1",
                  With(Valid(upstream.Address()), "slots", "1e30"));
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  EXPECT_EQ(this->Call(Request("/book/robes")).result_int(), 503U);

  this->PutUpstream("u1", upstream);
  EXPECT_TRUE(this->IsServed());
}

}  // namespace
}  // namespace fuchsiadrum::gateway
