#include "tests/platform/planned_stop_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// Callers whose first stream has begun before SIGTERM. Its head could not
/// announce the close, so that they ask for the next stream on its connection,
/// later than the time in which a cut is excused.
class LateStreamTest : public PlannedStopFixture {
 protected:
  static constexpr int kFirstMs = 3900;
  static constexpr int kFirstAt = -400;

  void SetUp() override {
    PlannedStopFixture::SetUp();
    this->StartProcess(8);
  }
  /// Lets the gateway learn the times of short streams, then lets callers of
  /// each kind of stream ask for `second` late in a stop.
  void AskLate(TestCall second, const std::string& warm_up_fields = "") {
    this->WarmUp({400}, warm_up_fields);
    this->stop_at = Clock::now() + milliseconds(700);
    for (const char* kind : {"resumable", "stream"}) {
      second.kind = kind;
      second.route_ms = 400;
      for (int i = 0; i < kCallersOfKind; ++i) {
        this->StartPair({.kind = kind,
                         .answer_ms = kFirstMs,
                         .send_at = kFirstAt,
                         .route_ms = 6000},
                        second);
      }
    }
    EXPECT_LE(this->Stop(), this->grace_ms);
    this->Judge();
  }
  /// Number of second requests with this status that were answered whole.
  int CountSecond(unsigned int status) const {
    return static_cast<int>(
        std::ranges::count_if(this->calls, [&](const TestCall& call) {
          return call.sent_at > kEarlyMs && call.status == status &&
                 call.is_whole;
        }));
  }
  void ExpectRefusedAtOnce() const {
    EXPECT_EQ(this->CountSecond(503), kCallers);
    for (const TestCall& call : this->calls) {
      if (call.status == 503U) EXPECT_LT(call.ended_at, call.sent_at + 200);
    }
  }

  static constexpr int kCallersOfKind = 6;
  static constexpr int kCallers = 2 * kCallersOfKind;
};

// LOST: the last answers of the route were short, so that a stream of 200
// events was sent 3.5 s after SIGTERM and cut at the end of the grace time.
TEST_F(LateStreamTest, LongStreamOfRouteWithShortOnes_IsRefusedAtOnce) {
  this->AskLate({.answer_ms = 6000, .fields = "Token-Counts: 10,200\r\n"},
                "Token-Counts: 10,200\r\n");
  this->ExpectRefusedAtOnce();
}

// LOST: the same where the request does not say how long its answer may get.
TEST_F(LateStreamTest, LongStreamThatStatesNoLength_IsRefusedAtOnce) {
  this->AskLate({.answer_ms = 6000});
  this->ExpectRefusedAtOnce();
}

// Refused although it could be answered: a stream whose tokens end it in time.
TEST_F(LateStreamTest, StreamThatStatesAShortLength_IsServed) {
  this->AskLate({.answer_ms = 400, .fields = "Token-Counts: 10,8\r\n"},
                "Token-Counts: 10,200\r\n");
  EXPECT_EQ(this->CountSecond(200), kCallers);
}

// Refused although it could be answered: a stream that its deadline ends in
// time.
TEST_F(LateStreamTest, StreamThatItsDeadlineEndsInTime_IsServed) {
  this->AskLate({.answer_ms = 1500, .fields = "Deadline-Ms: 3000\r\n"});
  EXPECT_EQ(this->CountSecond(200), kCallers);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
