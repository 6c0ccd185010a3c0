#include "fuchsiadrum/serving/stream_end.h"

#include <gtest/gtest.h>

#include <array>

namespace fuchsiadrum::serving {
namespace {

class StreamEndTest : public testing::Test {
 protected:
  static constexpr std::array kFramed = {AnswerFraming::kLength,
                                         AnswerFraming::kChunks};
};

// Guards against a broken stream that reaches its caller as a whole one.
TEST_F(StreamEndTest, EndOfTheConnection_AfterAnEvent_ProvesNothing) {
  for (const bool resumed : {false, true}) {
    EXPECT_EQ(JudgeStreamEnd({.framing = AnswerFraming::kConnection,
                              .has_new_events = true,
                              .is_resumed = resumed}),
              StreamEnd::kUnproven);
  }
}

TEST_F(StreamEndTest, FramedEnd_AfterAnEvent_IsComplete) {
  for (const AnswerFraming framing : kFramed) {
    EXPECT_EQ(JudgeStreamEnd({.framing = framing, .has_new_events = true}),
              StreamEnd::kComplete);
  }
}

TEST_F(StreamEndTest, EndInsideAnEvent_IsCutOff) {
  for (const AnswerFraming framing :
       {AnswerFraming::kLength, AnswerFraming::kChunks,
        AnswerFraming::kConnection}) {
    EXPECT_EQ(JudgeStreamEnd({.framing = framing,
                              .is_inside_event = true,
                              .has_new_events = true}),
              StreamEnd::kCutOff);
  }
}

// A stream without events is whole only if the caller had them all and the
// framing says that nothing follows.
TEST_F(StreamEndTest, EndWithoutEvents_IsCompleteOnlyIfResumedAndFramed) {
  for (const AnswerFraming framing : kFramed) {
    EXPECT_EQ(JudgeStreamEnd({.framing = framing, .is_resumed = true}),
              StreamEnd::kComplete);
    EXPECT_EQ(JudgeStreamEnd({.framing = framing}), StreamEnd::kCutOff);
  }
  EXPECT_EQ(JudgeStreamEnd(
                {.framing = AnswerFraming::kConnection, .is_resumed = true}),
            StreamEnd::kCutOff);
}

}  // namespace
}  // namespace fuchsiadrum::serving
