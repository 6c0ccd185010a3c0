#include "platform/request_codec.h"

#include <gtest/gtest.h>

namespace fuchsiadrum::platform {
namespace {

class RequestCodecTest : public testing::Test {
 protected:
  RequestCodecTest() {
    this->head.method_string("POST");
    this->head.target("/draft/x?y=1");
    this->head.set("Host", "Choir.example:80");
    this->head.set("Attempt-Id", "a1");
    this->head.set("Deadline-Ms", "1500");
    this->head.set("Key", "secret");
    this->head.set("Token-Counts", "1460,80");
    this->head.set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
  }

  serving::CallerRequest Decoded() {
    const auto request = DecodeRequest(this->head, this->reason);
    EXPECT_TRUE(request) << this->reason;
    return request.value_or(serving::CallerRequest());
  }

  HttpRequestHead head;
  std::string reason;
};

TEST_F(RequestCodecTest, Request_IsDecodedIntoItsFields) {
  const serving::CallerRequest request = this->Decoded();

  EXPECT_EQ(request.id, "a1");
  EXPECT_EQ(request.host, "choir.example");
  EXPECT_EQ(request.path, "/draft/x");
  EXPECT_EQ(request.target, "/draft/x?y=1");
  EXPECT_EQ(request.key, "secret");
  EXPECT_EQ(request.caller_timeout, std::chrono::milliseconds(1500));
  EXPECT_EQ(request.prompt_tokens, Tokens(1460));
  EXPECT_EQ(request.max_output_tokens, Tokens(80));
  ASSERT_EQ(request.parts.size(), 2U);
  EXPECT_EQ(request.parts[1].id, 0x91bd3f06U);
  EXPECT_EQ(request.parts[1].tokens, 410);
}

// A caller's key must not reach an upstream, and a caller must not set the
// fields by which the gateway controls upstreams.
TEST_F(RequestCodecTest, GatewayOnlyFields_FromACaller_AreDropped) {
  for (const char* name : {"Tenant", "Hold", "Pin-Ms", "Kv-From", "Kv-Backup",
                           "Expect-Runner", "Request-Priority"}) {
    this->head.set(name, "forged");
  }
  const std::string text = EncodeUpstreamRequest(
      this->Decoded(), {.upstream_id = "u1", .organisation = "choir"});

  EXPECT_EQ(text.find("forged"), std::string::npos);
  EXPECT_EQ(text.find("secret"), std::string::npos);
  EXPECT_NE(text.find("Tenant: choir\r\n"), std::string::npos);
  EXPECT_NE(text.find("Expect-Runner: u1\r\n"), std::string::npos);
  EXPECT_NE(text.find("Attempt-Id: a1\r\n"), std::string::npos);
}

TEST_F(RequestCodecTest, HopByHopFields_AreNotForwarded) {
  this->head.set("Connection", "close, X-Hop");
  this->head.set("X-Hop", "1");
  this->head.set("X-Kept", "2");
  const std::string text = EncodeUpstreamRequest(this->Decoded(), {});

  EXPECT_EQ(text.find("X-Hop"), std::string::npos);
  EXPECT_NE(text.find("X-Kept: 2\r\n"), std::string::npos);
}

TEST_F(RequestCodecTest, ContentLength_IsTheSizeOfTheBody) {
  serving::CallerRequest request = this->Decoded();
  request.body = "12345";

  EXPECT_NE(EncodeUpstreamRequest(request, {}).find("Content-Length: 5\r\n"),
            std::string::npos);
}

TEST_F(RequestCodecTest, MalformedFields_AreRefusedWithAReason) {
  const std::pair<const char*, const char*> bad_fields[] = {
      {"Deadline-Ms", "soon"},
      {"Token-Counts", "12"},
      {"Token-Counts", "-1,5"},
      {"Prompt-Prefix", "abc"},
      {"Attempt-Id", ""}};
  for (const auto& [name, value] : bad_fields) {
    HttpRequestHead bad = this->head;
    bad.set(name, value);
    EXPECT_FALSE(DecodeRequest(bad, this->reason)) << name << ": " << value;
    EXPECT_FALSE(this->reason.empty());
  }
}

TEST_F(RequestCodecTest, Answer_IsDecodedIntoItsFields) {
  HttpAnswerHead answer;
  answer.result(503);
  answer.set("Attempt-Id", "a1");
  answer.set("Not-Executed", "1");
  answer.set("Runner-Load", "3,2,8");
  answer.set("Connection", "close");
  answer.set("Keep-Alive", "timeout=5");
  answer.set("Content-Type", "Text/Event-Stream ; charset=utf-8");
  const serving::UpstreamAnswer decoded = DecodeAnswer(answer);

  EXPECT_EQ(decoded.status, 503);
  EXPECT_TRUE(decoded.not_executed);
  EXPECT_TRUE(decoded.close);
  EXPECT_FALSE(decoded.has_signature);
  EXPECT_EQ(decoded.media_type, "text/event-stream");
  EXPECT_EQ(decoded.keep_alive, std::chrono::seconds(5));
  ASSERT_TRUE(decoded.load);
  EXPECT_EQ(decoded.load->waiting, 2);
}

// Guards against an encoded body that is passed on because an empty field comes
// before the one that names the encoding.
TEST_F(RequestCodecTest, SecondContentEncoding_IsSeen) {
  HttpAnswerHead answer;
  EXPECT_FALSE(DecodeAnswer(answer).is_encoded);
  answer.insert("Content-Encoding", "");
  EXPECT_FALSE(DecodeAnswer(answer).is_encoded);
  answer.insert("content-encoding", "gzip");
  EXPECT_TRUE(DecodeAnswer(answer).is_encoded);
}

// Guards against a gateway that knows no load at all where upstreams report a
// fourth figure.
TEST_F(RequestCodecTest, LoadOfFourFigures_IsDecoded) {
  HttpAnswerHead answer;
  answer.set("Runner-Load", "3,2,8,140");
  const serving::UpstreamAnswer decoded = DecodeAnswer(answer);

  ASSERT_TRUE(decoded.load);
  EXPECT_EQ(decoded.load->running, 3);
  EXPECT_EQ(decoded.load->waiting, 2);
  EXPECT_EQ(decoded.load->slots, 8);
  EXPECT_EQ(decoded.load->work_percent, 140);
  EXPECT_EQ(decoded.load_fault, "");
}

// Guards against the loss of the counts with a fourth figure that is wrong.
TEST_F(RequestCodecTest, UnusableFourthFigure_CostsOnlyThatFigure) {
  for (const char* text :
       {"3,2,8,", "3,2,8, ", "3,2,8,0", "3,2,8,-5", "3,2,8,1.5", "3,2,8,1e2",
        "3,2,8,10001", "3,2,8,99999999999999999999", "3,2,8,140,140",
        "3,2,8,140,", "3,2,8,140,x,7", "3,2,8,,140", "3,2,8,x", "3,2,8,nan",
        "3,2,8,+5", "3,2,8,14x"}) {
    HttpAnswerHead answer;
    answer.set("Runner-Load", text);
    const serving::UpstreamAnswer decoded = DecodeAnswer(answer);

    ASSERT_TRUE(decoded.load) << text;
    EXPECT_EQ(decoded.load->running, 3) << text;
    EXPECT_EQ(decoded.load->waiting, 2) << text;
    EXPECT_EQ(decoded.load->slots, 8) << text;
    EXPECT_FALSE(decoded.load->work_percent) << text;
    EXPECT_NE(decoded.load_fault, "") << text;
  }
}

TEST_F(RequestCodecTest, RepeatedLoad_CostsOnlyTheFourthFigure) {
  HttpAnswerHead answer;
  answer.insert("Runner-Load", "3,2,8,140");
  answer.insert("Runner-Load", "4,2,8,90");
  const serving::UpstreamAnswer decoded = DecodeAnswer(answer);

  ASSERT_TRUE(decoded.load);
  EXPECT_EQ(decoded.load->running, 3);
  EXPECT_FALSE(decoded.load->work_percent);
  EXPECT_NE(decoded.load_fault, "");
}

TEST_F(RequestCodecTest, LoadOfThreeFiguresOrNone_IsNoFault) {
  HttpAnswerHead answer;
  EXPECT_EQ(DecodeAnswer(answer).load_fault, "");
  answer.set("Runner-Load", "3, 2, 8");
  const serving::UpstreamAnswer decoded = DecodeAnswer(answer);

  ASSERT_TRUE(decoded.load);
  EXPECT_FALSE(decoded.load->work_percent);
  EXPECT_EQ(decoded.load_fault, "");
}

TEST_F(RequestCodecTest, UnusableCounts_AreIgnoredAndReported) {
  for (const char* text : {"3,2", "3,,8,140", "-3,2,8", "x,2,8,140",
                           "3,2,1000001,140", "3,1.5,8"}) {
    HttpAnswerHead answer;
    answer.set("Runner-Load", text);
    const serving::UpstreamAnswer decoded = DecodeAnswer(answer);

    EXPECT_FALSE(decoded.load) << text;
    EXPECT_NE(decoded.load_fault, "") << text;
  }
}

TEST_F(RequestCodecTest,
       LeavingAndRetryAfter_AreDecoded_LeavingIsNotForwarded) {
  HttpAnswerHead answer;
  answer.result(503);
  answer.set("Server-Leaving", "1");
  answer.set("Retry-After", "2.5");
  const serving::UpstreamAnswer decoded = DecodeAnswer(answer);

  EXPECT_TRUE(decoded.leaving);
  EXPECT_EQ(decoded.pause, std::chrono::milliseconds(2500));
  EXPECT_TRUE(decoded.fault.empty());
  for (const auto& [name, value] : decoded.forwarded_fields) {
    EXPECT_NE(name, "Server-Leaving");
  }
}

TEST_F(RequestCodecTest, RetryAfter_WithAnotherStatusThan503_IsIgnored) {
  HttpAnswerHead answer;
  answer.result(429);
  answer.set("Retry-After", "2");
  EXPECT_FALSE(DecodeAnswer(answer).pause);
}

TEST_F(RequestCodecTest, MalformedLeavingOrRetryAfter_IsIgnoredAndReported) {
  for (const char* value :
       {"", "-1", "nan", "2 s", "Fri, 04 Dec 2026 10:00:00 GMT", "1,5"}) {
    HttpAnswerHead answer;
    answer.result(503);
    answer.set("Retry-After", value);
    const serving::UpstreamAnswer decoded = DecodeAnswer(answer);
    EXPECT_FALSE(decoded.pause) << value;
    EXPECT_FALSE(decoded.fault.empty()) << value;
  }
  for (const char* value : {"", "yes", "2", "-1"}) {
    HttpAnswerHead answer;
    answer.result(200);
    answer.set("Server-Leaving", value);
    const serving::UpstreamAnswer decoded = DecodeAnswer(answer);
    EXPECT_FALSE(decoded.leaving) << value;
    EXPECT_FALSE(decoded.fault.empty()) << value;
  }
}

TEST_F(RequestCodecTest, Limit_IsDecodedAsDecimalNumber_TheLowestCounts) {
  HttpAnswerHead answer;
  answer.result(200);
  EXPECT_FALSE(DecodeAnswer(answer).request_limit);
  answer.insert("Server-Limit", "2.4");
  answer.insert("Server-Limit", "0.35");

  EXPECT_DOUBLE_EQ(DecodeAnswer(answer).request_limit.value_or(-1), 0.35);
}

TEST_F(RequestCodecTest, MalformedLimit_IsIgnoredAndReported) {
  for (const char* text : {"", "many", "-1", "nan", "inf", "2,4", "1.4/s"}) {
    HttpAnswerHead answer;
    answer.result(200);
    answer.set("Server-Limit", text);
    const serving::UpstreamAnswer decoded = DecodeAnswer(answer);
    EXPECT_FALSE(decoded.request_limit) << text;
    EXPECT_FALSE(decoded.fault.empty()) << text;
  }
}

// FAILBACK: of several times the shortest is believed.
TEST_F(RequestCodecTest, ColdTime_IsDecoded_TheLongestCounts) {
  HttpAnswerHead answer;
  answer.result(200);
  EXPECT_FALSE(DecodeAnswer(answer).cold_left);
  answer.insert("Cold-Ms", "0");
  EXPECT_EQ(DecodeAnswer(answer).cold_left, Duration::zero());
  answer.insert("Cold-Ms", "1250.5");
  answer.insert("Cold-Ms", "30");
  EXPECT_EQ(DecodeAnswer(answer).cold_left, std::chrono::microseconds(1250500));
}

TEST_F(RequestCodecTest, MalformedColdTime_IsIgnoredAndReported) {
  for (const char* text : {"", "soon", "-1", "nan", "inf", "2,4", "3 s"}) {
    HttpAnswerHead answer;
    answer.result(200);
    answer.set("Cold-Ms", text);
    const serving::UpstreamAnswer decoded = DecodeAnswer(answer);
    EXPECT_FALSE(decoded.cold_left) << text;
    EXPECT_FALSE(decoded.fault.empty()) << text;
  }
}

// A word of an upstream that nobody decodes must not be passed over silently.
TEST_F(RequestCodecTest, UnknownNotice_IsReported) {
  HttpAnswerHead answer;
  answer.result(200);
  answer.set("Server-Limit", "2");
  answer.set("Server-Leaving", "1");
  answer.set("Server", "engine");
  EXPECT_TRUE(DecodeAnswer(answer).unknown_notice.empty());
  answer.set("server-mood", "low");
  EXPECT_EQ(DecodeAnswer(answer).unknown_notice, "server-mood");
}

TEST_F(RequestCodecTest, RepeatedRetryAfter_TheLongestCounts) {
  HttpAnswerHead answer;
  answer.result(503);
  answer.insert("Retry-After", "1e300");
  answer.insert("Retry-After", "1");
  const auto pause = DecodeAnswer(answer).pause;
  ASSERT_TRUE(pause);
  EXPECT_GT(*pause, std::chrono::hours(1));
  EXPECT_LT(*pause, std::chrono::hours(10000));
}

TEST_F(RequestCodecTest, GatewayAnswer_HasRetryAfterInSeconds) {
  const std::string text =
      EncodeGatewayAnswer(503, "a1", std::chrono::milliseconds(250), true);

  EXPECT_NE(text.find("Retry-After: 0.250\r\n"), std::string::npos);
  EXPECT_NE(text.find("Connection: close\r\n"), std::string::npos);
  EXPECT_EQ(text.find("Runner-Signature"), std::string::npos);
}

}  // namespace
}  // namespace fuchsiadrum::platform
