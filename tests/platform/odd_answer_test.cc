#include <gtest/gtest.h>

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "tests/platform/unframed_answer_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// Upstreams whose answers are none in HTTP/1.1.
class OddAnswerTest : public UnframedAnswerFixture {
 protected:
  static constexpr std::array<const char*, 4> kKinds = {"safe", "unsafe",
                                                        "resumable", "stream"};

  /// An answer whose status line and one more field are given.
  static std::string Answer(ScriptedExchange& exchange,
                            const std::string& status_line,
                            const std::string& field = "") {
    const std::string body = WholeBody(KindOf(exchange));
    return status_line + "\r\nAttempt-Id: " + exchange.Id() +
           "\r\nRunner-Signature: s1\r\nContent-Type: text/event-stream\r\n" +
           field + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  static std::string Chunked(ScriptedExchange& exchange,
                             const std::string& coding,
                             const std::string& trailer) {
    return Head(exchange.Id(), "Transfer-Encoding: " + coding + "\r\n") +
           Chunk(WholeBody(KindOf(exchange))) + "0\r\n" + trailer + "\r\n";
  }
  static std::string KindOf(ScriptedExchange& exchange) {
    const std::string target(exchange.Request().target());
    return target.substr(1, target.find('/', 1) - 1);
  }
  /// Sends a request of each kind.
  std::vector<CallerAnswer> AskAll(const std::string& name) {
    std::vector<CallerAnswer> answers;
    for (const char* kind : kKinds) {
      answers.push_back(
          this->Ask(kind, std::string(kind) + std::to_string(++this->asked)));
      const CallerAnswer& answer = answers.back();
      if (answer.status == 200 && answer.end != AnswerEnd::kBroken) {
        EXPECT_EQ(answer.body, WholeBody(kind)) << name;
      }
    }
    return answers;
  }
  /// Expects that no caller gets the odd answer that the upstreams give.
  void ExpectRefused(const std::string& name) {
    for (const CallerAnswer& answer : this->AskAll(name)) {
      EXPECT_EQ(answer.status, 502U) << testing::PrintToString(name);
    }
  }
  void ExpectServed(const std::string& name) {
    for (const CallerAnswer& answer : this->AskAll(name)) {
      EXPECT_EQ(answer.status, 200U) << testing::PrintToString(name);
      EXPECT_NE(answer.end, AnswerEnd::kBroken) << name;
    }
  }
  /// Starts upstreams that answer as `MakeAnswer` says.
  void StartOdd() {
    this->Start([this](ScriptedExchange& exchange, int /*attempt*/) {
      exchange.Write(this->make_answer(exchange));
    });
  }

  std::function<std::string(ScriptedExchange&)> make_answer;

 private:
  int asked = 0;
};

// MIXED: the status is none that HTTP knows.
TEST_F(OddAnswerTest, StatusOutOfRange_ReachesNoCaller) {
  this->StartOdd();
  for (const char* line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 20x OK", "HTTP/1.1  200 OK"}) {
    this->make_answer = [line](ScriptedExchange& exchange) {
      return Answer(exchange, line);
    };
    this->ExpectRefused(line);
  }
}

// MIXED: a line of the head is no field. It may be near to one that frames or
// proves the answer.
TEST_F(OddAnswerTest, FieldOutsideTheGrammar_ReachesNoCaller) {
  this->StartOdd();
  for (const std::string field :
       {"Content Length: 2\r\n", "Content-Length : 2\r\n", "X\x01: a\r\n",
        "X\x7f: a\r\n", "X\xe9: a\r\n", ": a\r\n", "X\r: a\r\n", "X: a\x01\r\n",
        "X: a\x7f\r\n", "X: a\rb\r\n", "X: a\nb: c\r\n", "Not Executed: 1\r\n",
        "X: a\r\n b\r\n", "X: a\r\n Content-Encoding: gzip\r\n",
        "Runner-Signature: s\r\n 1\r\n"}) {
    this->make_answer = [&field](ScriptedExchange& exchange) {
      return Answer(exchange, "HTTP/1.1 200 OK", field);
    };
    this->ExpectRefused(field);
  }
}

// MIXED: the body is still encoded, or ends where another reader sees no end.
TEST_F(OddAnswerTest, UnknownTransferCoding_ReachesNoCaller) {
  this->StartOdd();
  for (const std::string coding :
       {"gzip, chunked", "chunked, gzip", "gzip", "identity", "chunked;q=1"}) {
    this->make_answer = [&coding](ScriptedExchange& exchange) {
      return Chunked(exchange, coding, "");
    };
    this->ExpectRefused(coding);
  }
}

// MIXED: what follows the body is no trailer. A stream has begun by then; its
// end must not look complete.
TEST_F(OddAnswerTest, TrailerOutsideTheGrammar_EndsNoAnswer) {
  this->StartOdd();
  for (const std::string trailer : {"X y: a\r\n", "X : a\r\n", "X\x01: a\r\n",
                                    "X: a\x01\r\n", "X: a\r\n b\r\n"}) {
    this->make_answer = [&trailer](ScriptedExchange& exchange) {
      return Chunked(exchange, "chunked", trailer);
    };
    for (const CallerAnswer& answer : this->AskAll(trailer)) {
      EXPECT_TRUE(answer.status == 502 || answer.end == AnswerEnd::kBroken)
          << testing::PrintToString(trailer);
    }
  }
}

// Sound answers stay served, however unusual they look.
TEST_F(OddAnswerTest, UnusualSoundAnswer_IsServed) {
  this->StartOdd();
  for (const auto& [line, field] :
       std::vector<std::pair<std::string, std::string>>{
           {"HTTP/1.1 200 ", ""},
           {"HTTP/1.0 200 OK", ""},
           {"HTTP/1.1 200 \xe9t\xe9", "X:\r\n"},
           {"HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~: \t a \t b\xff \r\n"},
           {"HTTP/1.1 200 OK", "content-type:text/event-stream\r\n"}}) {
    this->make_answer = [&line = line,
                         &field = field](ScriptedExchange& exchange) {
      return Answer(exchange, line, field);
    };
    this->ExpectServed(line + field);
  }
  this->make_answer = [](ScriptedExchange& exchange) {
    return Chunked(exchange, "Chunked", "X-Checked: yes\r\n");
  };
  this->ExpectServed("trailer");
}

// Another upstream answers where the route allows it, and the upstream of the
// odd answer is named.
TEST_F(OddAnswerTest, OddAnswer_IsRepeatedWhereAllowedAndCounted) {
  this->Start([](ScriptedExchange& exchange, int attempt) {
    exchange.Write(
        Answer(exchange, attempt == 1 ? "HTTP/1.1 000 OK" : "HTTP/1.1 200 OK"));
  });
  EXPECT_EQ(this->Ask("safe", "a").status, 200U);
  EXPECT_EQ(this->Ask("resumable", "b").status, 200U);
  EXPECT_EQ(this->Ask("unsafe", "c").status, 502U);
  EXPECT_EQ(this->Ask("stream", "d").status, 502U);
  EXPECT_EQ(this->RunsOf("c"), 1);
  EXPECT_EQ(this->RunsOf("d"), 1);
  const std::string page =
      this->Get(this->gateway->MetricsPort(), "/metrics").body();
  EXPECT_NE(page.find("malformed_answers_total{upstream=\"u"),
            std::string::npos)
      << page;
  EXPECT_NE(page.find("fault=\"status-code\"}"), std::string::npos);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
