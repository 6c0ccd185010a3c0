#include "tests/daemon/daemon_fixture.h"

namespace fuchsiadrum::daemon {
namespace {

class FrontTest : public DaemonFixture {
 protected:
  void SetUp() override {
    this->settings.mutable_front()->set_header_timeout_ms(200);
    this->settings.mutable_front()->set_body_timeout_ms(200);
    this->Start([](const std::string&, Tcp::socket& socket) {
      return Put(socket,
                 StreamHead() + TokenEvent("a") + UsageEvent() + EndOfStream());
    });
  }

  /// Sends the text, expects the status and one count of this kind.
  void ExpectBadInput(const std::string& text, int status,
                      const std::string& kind) {
    const uint64_t before = this->Count(kind);
    const std::string answer = this->Exchange(text);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + std::to_string(status) + " "))
        << kind << ": " << answer;
    EXPECT_NE(answer.find("X-Outcome: not-run\r\n"), std::string::npos);
    EXPECT_NE(answer.find("X-Request-Id: "), std::string::npos);
    EXPECT_NE(answer.find("application/problem+json"), std::string::npos);
    EXPECT_EQ(this->Count(kind), before + 1) << kind;
  }
  uint64_t Count(const std::string& kind) const {
    return this->daemon->Metrics().Counter("bad_input_total", kind);
  }
  static std::string Post(const std::string& body,
                          const HttpHeaders& more = {}) {
    HttpHeaders headers = {{"Authorization", "Bearer key"},
                           {"Connection", "close"}};
    headers.insert(headers.end(), more.begin(), more.end());
    return RequestText("POST", "/v1/chat/completions", "test", headers, body);
  }
};

class LargeBodyTest : public DaemonFixture {
 protected:
  void SetUp() override {
    this->settings.mutable_front()->set_max_body_bytes(4U << 20U);
    this->Start([](const std::string&, Tcp::socket& socket) {
      return Put(socket,
                 StreamHead() + TokenEvent("a") + UsageEvent() + EndOfStream());
    });
  }
};

// Guards against bad HTTP that hangs, crashes or is taken for a request.
TEST_F(FrontTest, Http_Bad_GetsItsStatus) {
  this->ExpectBadInput("nonsense\r\n\r\n", 400, "malformed-http");
  this->ExpectBadInput("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400,
                       "malformed-http");
  this->ExpectBadInput(
      "GET / HTTP/1.1\r\nA: " + std::string(5000, 'a') + "\r\n\r\n", 431,
      "header-too-large");
  this->ExpectBadInput("POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" +
                           std::string(70000, 'a'),
                       413, "body-too-large");
  this->ExpectBadInput("GET / HTTP/1.0\r\n\r\n", 505, "old-http");
  this->ExpectBadInput("GET / HT", 408, "request-timeout");
  this->ExpectBadInput("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", 408,
                       "request-timeout");
}

// Guards against paths and headers that are not checked.
TEST_F(FrontTest, Headers_Bad_GetTheirStatus) {
  this->ExpectBadInput(
      RequestText("GET", "/etc", "t", {{"Connection", "close"}}, ""), 404,
      "unknown-path");
  this->ExpectBadInput(RequestText("GET", "/v1/chat/completions", "t",
                                   {{"Connection", "close"}}, ""),
                       405, "bad-method");
  this->ExpectBadInput(RequestText("POST", "/v1/chat/completions", "t",
                                   {{"Connection", "close"}}, "{}"),
                       401, "missing-key");
  this->ExpectBadInput(this->Post("{}", {{"Idempotency-Key", ""}}), 400,
                       "bad-idempotency-key");
  this->ExpectBadInput(
      this->Post("{}", {{"Idempotency-Key", std::string(256, 'k')}}), 400,
      "bad-idempotency-key");
  this->ExpectBadInput(
      this->Post("{}", {{"Idempotency-Key", "a"}, {"Idempotency-Key", "b"}}),
      400, "repeated-header");
  this->ExpectBadInput(this->Post("{}", {{"X-Request-Deadline-Ms", "0"}}), 400,
                       "deadline-passed");
  this->ExpectBadInput(this->Post("{}", {{"X-Request-Deadline-Ms", "1s"}}), 400,
                       "bad-deadline");
  this->ExpectBadInput(this->Post("{}", {{"X-Work-Class", "urgent"}}), 400,
                       "bad-work-class");
}

// Guards against a body that reaches an upstream although it is wrong.
TEST_F(FrontTest, Body_Bad_GetsItsStatus) {
  this->ExpectBadInput(this->Post("{\"model\""), 400, "bad-json");
  this->ExpectBadInput(this->Post("[1]"), 400, "bad-json");
  for (const char* body :
       {"{}", R"({"model":"m"})", R"({"model":"m","messages":[]})",
        R"({"model":"m","messages":[3]})",
        R"({"model":"m","messages":[{"content":4}]})",
        R"({"model":"m","messages":[{"content":"a"}],"max_tokens":-1})",
        R"({"model":"m","messages":[{"content":"a"}],"n":2})",
        R"({"model":"m","messages":[{"content":"a"}],"stream":"yes"})"}) {
    this->ExpectBadInput(this->Post(body), 400, "bad-body");
  }
}

// Guards against a connection that is lost or mixed up after an answer.
TEST_F(FrontTest, KeepAlive_SeveralRequests_AreAnsweredInTurn) {
  RawClient client(this->Port());
  const std::string good =
      R"({"model":"m","messages":[{"content":"a"}],"stream":true})";
  const std::string text = RequestText("POST", "/v1/chat/completions", "t",
                                       {{"Authorization", "Bearer key"}}, good);
  // The second request is sent before the first is answered.
  client.Write(text + text);
  for (int i = 0; i < 2; ++i) {
    const std::string answer = client.ReadUntil("X-Outcome: complete\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  }
  client.Write(RequestText("POST", "/v1/idempotency-keys", "t",
                           {{"Authorization", "Bearer key"}}, ""));
  EXPECT_NE(client.ReadUntil("}").find("/admin/idempotency-keys"),
            std::string::npos);
}

// Guards against connections without a bound.
TEST_F(FrontTest, Connections_AboveLimit_AreRefusedAsNotRun) {
  std::vector<std::unique_ptr<RawClient>> open;
  const std::string bad = RequestText("GET", "/etc", "t", {}, "");
  for (int i = 0; i < 16; ++i) {
    open.push_back(std::make_unique<RawClient>(this->Port()));
    open.back()->Write(bad);
    open.back()->ReadUntil("}");
  }
  RawClient refused(this->Port());
  const std::string answer = refused.ReadAll();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 "));
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
}

// Guards against an admin port that does not reach the core.
TEST_F(FrontTest, Admin_Paths_Answer) {
  const auto get = [&](const std::string& target) {
    RawClient client(this->daemon->AdminAddress().port);
    client.Write(
        RequestText("GET", target, "t", {{"Connection", "close"}}, ""));
    return client.ReadAll();
  };
  EXPECT_TRUE(get("/healthz").starts_with("HTTP/1.1 200 "));
  EXPECT_TRUE(get("/readyz").ends_with("ready\n"));
  EXPECT_NE(get("/report/burn").find("GET /report/burn"), std::string::npos);
  EXPECT_NE(get("/admin/fleet?a=1").find("GET /admin/fleet?a=1"),
            std::string::npos);
  EXPECT_TRUE(get("/v1/chat/completions").starts_with("HTTP/1.1 404 "));
  this->Exchange(this->ChatText(true));
  const std::string metrics = get("/metrics");
  for (const char* part :
       {"fuchsiadrum_fake 1", "daemon_ring_depth{ring=\"front-control\"}",
        "first_token_added_seconds_count 1", "daemon_connections"}) {
    EXPECT_NE(metrics.find(part), std::string::npos) << part << metrics;
  }
}

// Guards against a caller who ends the process with a body that nests deeply.
TEST_F(LargeBodyTest, Chat_DeeplyNestedBody_IsRefused) {
  constexpr size_t kDepth = 1'000'000;
  const std::string body =
      R"({"model":"m","messages":[{"role":"user","content":"hello"}],"x":)" +
      std::string(kDepth, '[') + std::string(kDepth, ']') + "}";
  const std::string answer = this->Exchange(RequestText(
      "POST", "/v1/chat/completions", "test",
      {{"Authorization", "Bearer key"}, {"Connection", "close"}}, body));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 400 ")) << answer.substr(0, 200);
  EXPECT_TRUE(
      this->Exchange(this->ChatText(false)).starts_with("HTTP/1.1 200 "));
}

}  // namespace
}  // namespace fuchsiadrum::daemon
