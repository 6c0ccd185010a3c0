#include <gtest/gtest.h>

#include <limits>

#include "daemon/answer_pipe.h"
#include "daemon/frame_codec.h"
#include "daemon/load_report.h"
#include "daemon/platform_json.h"
#include "daemon/ring.h"
#include "daemon/sse_parser.h"
#include "fuchsiadrum/core/base64.h"

namespace fuchsiadrum::daemon {
namespace {

class PartsTest : public ::testing::Test {
 protected:
  static Ring<int> MakeRing(asio::io_context& context) {
    return {context, 2, std::make_shared<RingCounters>()};
  }
};

// Guards against items that are lost, doubled or reordered by a full ring.
TEST_F(PartsTest, Ring_Full_RefusesAndSenderKeepsOrder) {
  asio::io_context context;
  Ring<int> ring = MakeRing(context);
  std::vector<int> got;
  ring.SetHandler([&](int& item) { got.push_back(item); });
  int item = 1;
  EXPECT_TRUE(ring.TryPush(item));
  RingSender<int> sender(ring, context);
  bool cleared = false;
  sender.SetOnClear([&] { cleared = true; });
  sender.Send(2);
  EXPECT_TRUE(sender.IsClear());
  item = 9;
  EXPECT_FALSE(ring.TryPush(item));
  EXPECT_EQ(item, 9);
  sender.Send(3);
  sender.Send(4);
  EXPECT_FALSE(sender.IsClear());
  context.run();
  EXPECT_EQ(got, (std::vector<int>{1, 2, 3, 4}));
  EXPECT_TRUE(cleared);
}

// Guards against a paused ring that delivers, or that stays paused.
TEST_F(PartsTest, Ring_Paused_DeliversAfterResume) {
  asio::io_context context;
  Ring<int> ring = MakeRing(context);
  int sum = 0;
  ring.SetHandler([&](int& item) { sum += item; });
  ring.SetPaused(true);
  int item = 5;
  EXPECT_TRUE(ring.TryPush(item));
  context.run();
  EXPECT_EQ(sum, 0);
  ring.SetPaused(false);
  context.restart();
  context.run();
  EXPECT_EQ(sum, 5);
}

// Guards against bytes of an attempt that is no longer current.
TEST_F(PartsTest, AnswerPipe_OlderAttempt_IsDropped) {
  AnswerPipe pipe(100);
  pipe.BeginAttempt(2);
  EXPECT_EQ(pipe.Push(1, "old"), AnswerPipe::PushResult::kStale);
  EXPECT_FALSE(pipe.HasDelivered());
  pb::StoredAnswer old;
  pipe.SetWhole(1, old);
  EXPECT_FALSE(pipe.TakeWhole());
  EXPECT_EQ(pipe.Push(2, "new"), AnswerPipe::PushResult::kAccepted);
  EXPECT_EQ(pipe.Take(100), "new");
  EXPECT_TRUE(pipe.HasDelivered());
}

// Guards against a writer that never resumes after a slow reader.
TEST_F(PartsTest, AnswerPipe_Full_ResumesOnceWhenThereIsRoom) {
  AnswerPipe pipe(4);
  pipe.BeginAttempt(1);
  EXPECT_EQ(pipe.Push(1, "abcdef"), AnswerPipe::PushResult::kFull);
  int resumed = 0;
  pipe.WhenRoom([&] { ++resumed; });
  EXPECT_EQ(pipe.Take(1), "a");
  EXPECT_EQ(resumed, 0);
  EXPECT_EQ(pipe.Take(100), "bcdef");
  EXPECT_EQ(resumed, 1);
  pipe.Push(1, "abcdef");
  pipe.WhenRoom([&] { ++resumed; });
  pipe.Close();
  EXPECT_EQ(resumed, 2);
  EXPECT_EQ(pipe.Push(1, "x"), AnswerPipe::PushResult::kStale);
}

// Guards against a reader that is not woken, or woken for each token.
TEST_F(PartsTest, AnswerPipe_Wake_OncePerRun) {
  AnswerPipe pipe(100);
  int woken = 0;
  pipe.SetWake([&] { ++woken; });
  pipe.BeginAttempt(1);
  pipe.Push(1, "a");
  pipe.Push(1, "b");
  EXPECT_EQ(woken, 1);
  EXPECT_EQ(pipe.Take(100), "ab");
  pipe.Push(1, "c");
  EXPECT_EQ(woken, 1);  // the reader has yet to find the pipe empty
  EXPECT_EQ(pipe.Take(100), "c");
  EXPECT_EQ(pipe.Take(100), "");
  pipe.Push(1, "d");
  EXPECT_EQ(woken, 2);
}

// Guards against forged, replayed and misdirected frames.
TEST_F(PartsTest, FrameCodec_BadFrames_AreDropped) {
  const std::string key(32, 'k');
  FrameCodec sender({"a", 5}, key);
  FrameCodec receiver({"b", 7}, key);
  using Drop = FrameCodec::Drop;
  const auto drop_of = [&](const std::string& bytes) {
    receiver.Decode(bytes);
    return receiver.LastDrop();
  };

  pb::PeerMessage message;
  message.mutable_heartbeat()->set_log_offset(3);
  const std::string first = sender.Encode({"b", 0}, {message});
  const std::string second = sender.Encode({"b", 7}, {message, message});
  ASSERT_TRUE(receiver.Decode(second));
  EXPECT_EQ(drop_of(second), Drop::kOldCounter);
  EXPECT_EQ(drop_of(first), Drop::kOldCounter);
  EXPECT_EQ(drop_of(sender.Encode({"c", 0}, {})), Drop::kNotForUs);
  EXPECT_EQ(drop_of(sender.Encode({"b", 6}, {})), Drop::kNotForUs);
  EXPECT_EQ(drop_of("nonsense"), Drop::kMalformed);
  EXPECT_EQ(drop_of(""), Drop::kBadMac);
  FrameCodec stranger({"a", 9}, std::string(32, 'x'));
  EXPECT_EQ(drop_of(stranger.Encode({"b", 0}, {message})), Drop::kBadMac);

  std::string changed = sender.Encode({"b", 0}, {message});
  changed[changed.find('b')] = 'c';
  EXPECT_EQ(drop_of(changed), Drop::kBadMac);
  FrameCodec restarted({"a", 6}, key);
  EXPECT_TRUE(receiver.Decode(restarted.Encode({"b", 0}, {message})));
  EXPECT_EQ(drop_of(sender.Encode({"b", 0}, {})), Drop::kOldCounter);
}

// Guards against events that depend on how the bytes were split.
TEST_F(PartsTest, SseParser_AnySplit_GivesTheSameEvents) {
  const std::string text =
      ": comment\ndata: {\"a\":1}\r\n\r\nevent: x\ndata:b\ndata: c\n\n\ndata: "
      "[DONE]\n\n";
  for (size_t at = 0; at <= text.size(); ++at) {
    SseParser parser(1000);
    std::vector<std::string> events;
    const auto add = [&](std::string_view data) { events.emplace_back(data); };
    EXPECT_TRUE(parser.Feed(std::string_view(text).substr(0, at), add));
    EXPECT_TRUE(parser.Feed(std::string_view(text).substr(at), add));
    EXPECT_EQ(events,
              (std::vector<std::string>{"{\"a\":1}", "b\nc", "[DONE]"}));
  }
  SseParser bounded(10);
  EXPECT_FALSE(bounded.Feed(std::string(11, 'x'), [](std::string_view) {}));
}

// Guards against answers of the platform that crash or are taken for good.
TEST_F(PartsTest, PlatformJson_Malformed_IsNothing) {
  EXPECT_EQ(FromBase64("YWI="), "ab");
  EXPECT_EQ(FromBase64("YWJj"), "abc");
  EXPECT_EQ(FromBase64(""), "");
  EXPECT_FALSE(FromBase64("YW="));
  EXPECT_FALSE(FromBase64("****"));
  EXPECT_FALSE(ParseLogRead("{"));
  EXPECT_FALSE(ParseLogRead(R"({"first":4,"end":3,"records":[]})"));
  EXPECT_FALSE(ParseLogRead(R"({"first":0,"end":3,"records":[5]})"));
  const auto read =
      ParseLogRead(R"({"first":0,"end":3,"from":2,"records":["YQ=="]})");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->batches, std::vector<std::string>{"a"});
  EXPECT_FALSE(ParseVmList(R"({"vms":[{"leaving":true}]})"));
  const auto vms = ParseVmList(R"({"vms":[{"name":"a","leaving":true}]})");
  ASSERT_TRUE(vms);
  EXPECT_TRUE(vms->front().leaving);
}

// Guards against a load report that crashes or is half believed.
TEST_F(PartsTest, LoadReport_WrongTypes_AreLeftOut) {
  EXPECT_FALSE(ParseLoadReport("nonsense").reachable);
  const auto report = ParseLoadReport(
      R"({"running":-3,"queued":"x","models":["m",1],"leaving":true,
          "cached_prefixes":["0100000000000000","xyz"]})");
  EXPECT_TRUE(report.reachable);
  EXPECT_EQ(report.running, 0);
  EXPECT_EQ(report.models, std::vector<std::string>{"m"});
  EXPECT_TRUE(report.leaving);
  EXPECT_EQ(report.cached_prefixes, std::vector<uint64_t>{1});
}

// Guards against numbers of a load report that leave their range when they are
// added up.
TEST_F(PartsTest, LoadReport_NumbersTooLarge_AreBounded) {
  const auto report = ParseLoadReport(
      R"({"running":2147483647,"queued":18446744073709551615,
          "tokens_per_second":1e308,"cache_sequence":18446744073709551615})");
  EXPECT_TRUE(report.reachable);
  EXPECT_LE(int64_t{report.running} + report.queued,
            std::numeric_limits<int>::max() / 2);
  EXPECT_EQ(report.cache_sequence, 0U);
  EXPECT_FALSE(ParseLoadReport(R"({"running":1e999})").reachable);
}

// Guards against odd documents of the platform and of upstreams that end the
// process.
TEST_F(PartsTest, Documents_Odd_AreNothing) {
  const std::string deep = std::string(1U << 20U, '[');
  const std::string closed = deep + std::string(1U << 20U, ']');
  for (const std::string& odd :
       {deep, closed, std::string("7"), std::string("null"),
        std::string("\"\xff\""), std::string("-1e400"), std::string()}) {
    for (const char* key : {"vms", "records", "models", "running", "first"}) {
      const std::string text =
          "{\"first\":1,\"end\":2,\"" + std::string(key) + "\":" + odd + "}";
      const auto read = ParseLogRead(text);
      EXPECT_TRUE(!read || read->batches.empty());
      EXPECT_FALSE(ParseVmList(text));
      EXPECT_TRUE(ParseLoadReport(text).models.empty());
    }
  }
  EXPECT_FALSE(ParseVmList(R"({"vms":[{"name":7}]})"));
  EXPECT_FALSE(ParseLogRead(R"({"first":-1,"end":3})"));
  EXPECT_FALSE(ParseLogRead(R"({"first":1.5,"end":3})"));
  EXPECT_FALSE(ParseLogRead(R"({"first":0,"end":36893488147419103232})"));
}

}  // namespace
}  // namespace fuchsiadrum::daemon
