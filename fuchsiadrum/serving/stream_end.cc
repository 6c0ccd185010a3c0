#include "fuchsiadrum/serving/stream_end.h"

namespace fuchsiadrum::serving {

StreamEnd JudgeStreamEnd(const StreamEndState& state) {
  const bool is_framed = IsFramed(state.framing);
  if (state.is_inside_event) return StreamEnd::kCutOff;
  if (state.has_new_events) {
    return is_framed ? StreamEnd::kComplete : StreamEnd::kUnproven;
  }
  // An upstream that has nothing to add to the events that the caller has says
  // so by the framing of its answer.
  return state.is_resumed && is_framed ? StreamEnd::kComplete
                                       : StreamEnd::kCutOff;
}

}  // namespace fuchsiadrum::serving
