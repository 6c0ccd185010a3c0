// Numbers that callers state, up to and beyond what 64 bits hold.
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <vector>

#include "schema/fleet.pb.h"
#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

class OutsideNumberTest : public PlatformFixture {
 protected:
  static constexpr char kAccounts[] = "keyed.fuchsiadrum-accounts";

  /// Whole numbers around the edges of the common types, and longer ones.
  static std::vector<std::string> Numbers() {
    return {"0",
            "1",
            "00012",
            "2147483647",
            "2147483648",
            "4294967296",
            "9007199254740993",
            "9223372036854775806",
            "9223372036854775807",
            "9223372036854775808",
            "18446744073709551615",
            "18446744073709551616",
            std::string(5000, '9')};
  }
  static std::vector<std::string> NoNumbers() {
    return {"-1", "+1", "1e3", "0x1", "1.5", "one", "-9223372036854775808"};
  }
  static std::string Counts(const std::string& prompt,
                            const std::string& output) {
    return prompt + "," + output;
  }
  /// Two parts of a prompt with that many tokens each.
  static std::string TwoParts(const std::string& tokens) {
    return "a:" + tokens + ",b:" + tokens;
  }
  void Start(int64_t prepaid) {
    this->PutUpstream("u1", this->upstream);
    this->PutConfig(1, prepaid);
    this->StartGateway();
    // The first grants.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  std::string NextId() { return "n" + std::to_string(++this->asked); }
  unsigned StatusOf(const std::string& path, const std::string& tokens) {
    HttpRequest request = Request(path, tokens);
    request.set("Attempt-Id", this->NextId());
    return this->Call(request).result_int();
  }
  pb::FleetAccount Account() {
    pb::FleetRecord record;
    record.ParseFromString(this->store.Newest(kAccounts, "book"));
    return record.book().accounts_size() == 0 ? pb::FleetAccount()
                                              : record.book().accounts(0);
  }

  /// While set, the upstream refuses as if it were full.
  std::atomic<bool> is_full{false};
  int asked = 0;
  LoopbackServer upstream{[this](const auto& request, auto& socket) {
    if (!this->is_full) return AnswerOneEvent(request, socket);
    HttpAnswer full(http::status::service_unavailable, 11);
    full.set("Attempt-Id", request["Attempt-Id"]);
    full.set("Not-Executed", "1");
    return std::optional(full);
  }};
};

// LOST: the sum of two counts wrapped to a negative amount that was reserved,
// and settling it ended the process with all its connections.
TEST_F(OutsideNumberTest, CountsWhoseSumWraps_AreRefusedAtOnce) {
  this->Start(5000);
  this->is_full = true;
  for (const char* path : {"/draft/x", "/book/x"}) {
    EXPECT_EQ(this->StatusOf(path, "9223372036854775807,1"), 402U) << path;
    EXPECT_EQ(this->StatusOf(path, "9223372036854775807,9223372036854775807"),
              402U)
        << path;
  }
  this->is_full = false;
  EXPECT_EQ(this->StatusOf("/draft/x", "100,10"), 200U);
}

// BUDGET: the same counts made the account of their organisation negative.
TEST_F(OutsideNumberTest, AnyCounts_LeaveTheAccountExact) {
  constexpr int64_t kPrepaid = 2000;
  constexpr int64_t kSound = 110;
  this->Start(kPrepaid);
  int64_t used = 0;
  for (const char* path : {"/draft/x", "/book/x"}) {
    for (const std::string& prompt : Numbers()) {
      for (const std::string& output : Numbers()) {
        const unsigned status = this->StatusOf(path, Counts(prompt, output));
        const bool is_small = prompt.size() < 6 && output.size() < 6;
        EXPECT_EQ(status, is_small ? 200U : 402U) << prompt << "," << output;
        if (status == 200) used += std::stoll(prompt) + std::stoll(output);
      }
    }
  }
  for (const std::string& text : NoNumbers()) {
    EXPECT_EQ(this->StatusOf("/draft/x", text + ",1"), 400U) << text;
    EXPECT_EQ(this->StatusOf("/draft/x", "1," + text), 400U) << text;
  }
  EXPECT_EQ(this->Account().limit_tokens(), kPrepaid);
  EXPECT_GE(this->Account().granted_tokens(), 0);
  EXPECT_LE(this->Account().granted_tokens(), kPrepaid);

  int served = 0;
  while (this->StatusOf("/draft/x", "100,10") == 200) ++served;
  EXPECT_LE(served * kSound, kPrepaid);
  EXPECT_GE(served * kSound + used, kPrepaid - kSound);
}

// A number that no caller means must not end the process either.
TEST_F(OutsideNumberTest, OtherNumbersOfARequest_AreTakenOrRefused) {
  this->Start(1000000);
  std::vector<std::string> texts = Numbers();
  const std::vector<std::string> no_numbers = NoNumbers();
  texts.insert(texts.end(), no_numbers.begin(), no_numbers.end());
  for (const std::string& text : texts) {
    for (const char* field : {"Deadline-Ms", "Last-Event-Id", "Length-Hint"}) {
      HttpRequest request = Request("/draft/x", "1,1");
      request.set("Attempt-Id", this->NextId());
      request.set(field, text);
      EXPECT_NE(this->Call(request).result_int(), 0U) << field << " " << text;
    }
    HttpRequest request = Request("/draft/x", "1,1");
    request.set("Attempt-Id", this->NextId());
    request.set("Prompt-Prefix", TwoParts(text));
    EXPECT_NE(this->Call(request).result_int(), 0U) << text;
  }
  EXPECT_EQ(this->StatusOf("/draft/x", "100,10"), 200U);
}

// A request that no upstream can hold would be refused by each of them.
TEST_F(OutsideNumberTest, PromptAboveTheMemory_IsRefusedUnsent) {
  nlohmann::json config = {
      {"version", 1},
      {"routes", {RouteOfKind("draft", "resumable", 3000)}},
      {"services",
       {{{"name", "engine"},
         {"engine",
          {{"slots", 8}, {"stride", 5}, {"kv_capacity_tokens", 4000}}}}}},
      {"limits", nlohmann::json::object()}};
  this->store.Put(kTopicOperators, "config", config.dump());
  this->PutUpstream("u1", this->upstream);
  this->StartGateway();
  this->is_full = true;
  EXPECT_EQ(this->StatusOf("/draft/x", "4001,1"), 503U);
  this->is_full = false;
  EXPECT_EQ(this->StatusOf("/draft/x", "4001,1"), 503U);
  EXPECT_EQ(this->StatusOf("/draft/x", "4000,100"), 200U);
}

// Records of another writer, or of a faulty one, in the accounts.
TEST_F(OutsideNumberTest, StoredTotalsOutOfRange_GrantNothing) {
  this->Start(5000);
  EXPECT_EQ(this->StatusOf("/draft/x", "100,10"), 200U);
  pb::FleetRecord record;
  pb::FleetAccount& item = *record.mutable_book()->add_accounts();
  item.set_organisation("parish");
  item.set_granted_tokens(std::numeric_limits<int64_t>::min());
  item.set_spent_tokens(std::numeric_limits<int64_t>::max());
  this->store.PutToAll(kAccounts, "book", record.SerializeAsString());
  for (int i = 0; i < 60; ++i) {
    const unsigned status = this->StatusOf("/draft/x", "100,10");
    EXPECT_TRUE(status == 200 || status == 402 || status == 503) << status;
  }
}

}  // namespace
}  // namespace fuchsiadrum::gateway
