#include "fuchsiadrum/serving/answer_framing.h"

#include <array>

namespace fuchsiadrum::serving {

std::string_view AnswerFramingName(AnswerFraming framing) {
  static constexpr std::array<std::string_view, 3> kNames = {"length", "chunks",
                                                             "connection"};
  return kNames[static_cast<size_t>(framing)];
}

}  // namespace fuchsiadrum::serving
