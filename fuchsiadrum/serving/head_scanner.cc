#include "fuchsiadrum/serving/head_scanner.h"

#include <array>

namespace fuchsiadrum::serving {
namespace {

constexpr std::string_view kVersion = "HTTP/1.";
constexpr size_t kStatusDigits = 3;

constexpr std::array<bool, 256> MakeTokenTable() {
  std::array<bool, 256> table{};
  for (unsigned char c = '0'; c <= '9'; ++c) table[c] = true;
  for (unsigned char c = 'a'; c <= 'z'; ++c) table[c] = true;
  for (unsigned char c = 'A'; c <= 'Z'; ++c) table[c] = true;
  for (const char c : std::string_view("!#$%&'*+-.^_`|~")) {
    table[static_cast<unsigned char>(c)] = true;
  }
  return table;
}

/// Characters of a token (RFC 9110, section 5.6.2).
constexpr std::array<bool, 256> kIsToken = MakeTokenTable();

bool IsToken(char byte) { return kIsToken[static_cast<unsigned char>(byte)]; }

/// True for a character of a field's value or a reason phrase.
bool IsText(char byte) {
  const auto code = static_cast<unsigned char>(byte);
  constexpr unsigned char kDelete = 0x7f;
  return code == '\t' || (code >= ' ' && code != kDelete);
}

}  // namespace

size_t HeadScanner::Scan(std::string_view bytes) {
  size_t scanned = 0;
  while (scanned < bytes.size() && this->state != State::kDone &&
         this->fault == AnswerFault::kNone) {
    this->state = this->After(bytes[scanned]);
    ++scanned;
  }
  return scanned;
}

HeadScanner::State HeadScanner::After(char byte) {
  switch (this->state) {
    case State::kVersion:
      if (byte != kVersion[this->position]) {
        return this->Fail(AnswerFault::kStatusLine);
      }
      return ++this->position == kVersion.size() ? State::kMinorVersion
                                                 : State::kVersion;
    case State::kMinorVersion:
      this->position = 0;
      return byte == '0' || byte == '1' ? State::kBlankBeforeStatus
                                        : this->Fail(AnswerFault::kStatusLine);
    case State::kBlankBeforeStatus:
      return byte == ' ' ? State::kStatus
                         : this->Fail(AnswerFault::kStatusLine);
    case State::kStatus:
      return this->AfterStatusDigit(byte);
    case State::kBlankAfterStatus:
      return byte == ' ' ? State::kReason
                         : this->Fail(AnswerFault::kStatusCode);
    case State::kReason:
      if (byte == '\r') return State::kLineFeed;
      return IsText(byte) ? State::kReason
                          : this->Fail(AnswerFault::kStatusLine);
    case State::kLineFeed:
      return byte == '\n' ? State::kLineStart
                          : this->Fail(AnswerFault::kLineEnd);
    case State::kLineStart:
      return this->AfterLineStart(byte);
    case State::kName:
      if (byte == ':') return State::kValue;
      return IsToken(byte) ? State::kName : this->Fail(AnswerFault::kFieldName);
    case State::kValue:
      if (byte == '\r') return State::kLineFeed;
      return IsText(byte) ? State::kValue
                          : this->Fail(AnswerFault::kFieldValue);
    case State::kLastLineFeed:
      return byte == '\n' ? State::kDone : this->Fail(AnswerFault::kLineEnd);
    case State::kDone:
      break;
  }
  return State::kDone;
}

HeadScanner::State HeadScanner::AfterStatusDigit(char byte) {
  const bool is_first = this->position == 0;
  const char highest = is_first ? '5' : '9';
  const char lowest = is_first ? '1' : '0';
  if (byte < lowest || byte > highest) {
    return this->Fail(AnswerFault::kStatusCode);
  }
  return ++this->position == kStatusDigits ? State::kBlankAfterStatus
                                           : State::kStatus;
}

HeadScanner::State HeadScanner::AfterLineStart(char byte) {
  if (byte == '\r') return State::kLastLineFeed;
  if (byte == ' ' || byte == '\t') return this->Fail(AnswerFault::kFoldedLine);
  return IsToken(byte) ? State::kName : this->Fail(AnswerFault::kFieldName);
}

HeadScanner::State HeadScanner::Fail(AnswerFault found) {
  this->fault = found;
  return this->state;
}

}  // namespace fuchsiadrum::serving
