#pragma once

#include "fuchsiadrum/serving/answer_framing.h"

namespace fuchsiadrum::serving {

/// What the end of an upstream's answer says about its stream.
enum class StreamEnd {
  kComplete,  // the stream is whole
  kUnproven,  // it may be whole: it ended after an event, but an upstream that
              // fails there shows the same
  kCutOff,    // it was broken off
};

/// How an answer has ended whose connection did not fail.
struct StreamEndState {
  AnswerFraming framing = AnswerFraming::kConnection;
  /// True if bytes of an unfinished event were read last.
  bool is_inside_event = false;
  /// True if the answer had events that the caller did not have before.
  bool has_new_events = false;
  /// True if the upstream was asked to resume after an event.
  bool is_resumed = false;
};

/// Returns what the end proves. RFC 9112, sections 6.3 and 8: an answer without
/// length and chunks has no other mark of its end than that of the connection.
StreamEnd JudgeStreamEnd(const StreamEndState& state);

}  // namespace fuchsiadrum::serving
