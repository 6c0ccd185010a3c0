#pragma once

#include <cstddef>
#include <string_view>

#include "fuchsiadrum/serving/answer_fault.h"

namespace fuchsiadrum::serving {

/// Checks the head of an answer, or the trailer of its chunks, against the
/// grammar of RFC 9112, sections 2.2, 4 and 5. Nothing that the RFC allows a
/// recipient to repair is repaired: two recipients could repair it differently.
class HeadScanner {
 public:
  /// A scanner that begins with the status line.
  static HeadScanner ForHead() { return HeadScanner(State::kVersion); }
  /// A scanner that begins with the first field.
  static HeadScanner ForTrailer() { return HeadScanner(State::kLineStart); }

  /// Scans further bytes, up to the empty line that ends the head, or to a
  /// fault. Returns how many were scanned.
  size_t Scan(std::string_view bytes);
  /// True once the empty line was scanned.
  bool IsDone() const { return this->state == State::kDone; }
  /// What is wrong with the bytes that were scanned.
  AnswerFault Fault() const { return this->fault; }

 private:
  /// What the next byte belongs to.
  enum class State {
    kVersion,
    kMinorVersion,
    kBlankBeforeStatus,
    kStatus,
    kBlankAfterStatus,
    kReason,
    kLineFeed,
    kLineStart,
    kName,
    kValue,
    kLastLineFeed,
    kDone,
  };

  explicit HeadScanner(State first_state) : state(first_state) {}
  /// The state after a byte; sets the fault if the byte cannot stand there.
  State After(char byte);
  State AfterStatusDigit(char byte);
  State AfterLineStart(char byte);
  State Fail(AnswerFault found);

  State state;
  AnswerFault fault = AnswerFault::kNone;
  /// Bytes of the version, or digits of the status, that were scanned.
  size_t position = 0;
};

}  // namespace fuchsiadrum::serving
