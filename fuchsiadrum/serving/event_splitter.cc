#include "fuchsiadrum/serving/event_splitter.h"

#include "fuchsiadrum/core/whole_number.h"

namespace fuchsiadrum::serving {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kRetryField = "retry:";

/// Returns the length of the first complete event including its blank line, or
/// 0 if there is none.
size_t FirstEventSize(std::string_view text) {
  for (size_t at = text.find('\n'); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    size_t next = at + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next < text.size() && text[next] == '\n') return next + 1;
  }
  return 0;
}

/// Takes the first line, without its end, from the text.
std::string_view TakeLine(std::string_view& text) {
  const size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

/// Returns the number after the name of the field; nullopt if other text
/// follows.
std::optional<uint64_t> ParseNumber(std::string_view line,
                                    std::string_view field) {
  line.remove_prefix(field.size());
  while (line.starts_with(' ')) line.remove_prefix(1);
  const auto number = ParseWhole(line, ranges::kEventNumber);
  if (!number) return std::nullopt;
  return static_cast<uint64_t>(*number);
}

/// True if the lines are comments, which keep a connection in use, or times
/// after which a client connects again. They belong to any place of a stream.
bool IsWithoutEvent(std::string_view lines) {
  while (!lines.empty()) {
    const std::string_view line = TakeLine(lines);
    const bool is_retry_time =
        line.starts_with(kRetryField) && ParseNumber(line, kRetryField);
    if (!line.empty() && line.front() != ':' && !is_retry_time) return false;
  }
  return true;
}

/// Returns the event's number; nullopt if it has none, different ones, or one
/// that is followed by other text.
std::optional<uint64_t> EventId(std::string_view event) {
  std::optional<uint64_t> found;
  while (!event.empty()) {
    const std::string_view line = TakeLine(event);
    if (!line.starts_with(kIdField)) continue;
    const std::optional<uint64_t> id = ParseNumber(line, kIdField);
    if (!id || (found && *found != *id)) return std::nullopt;
    found = id;
  }
  return found;
}

}  // namespace

int EventSplitter::Feed(std::string_view bytes, std::string& out) {
  this->rest.append(bytes);
  std::string_view remaining = this->rest;
  int events = 0;
  for (size_t size = FirstEventSize(remaining); size > 0;
       size = FirstEventSize(remaining)) {
    const std::string_view event = remaining.substr(0, size);
    const Kind kind = this->Classify(event);
    if (kind != Kind::kKnown) out.append(event);
    if (kind == Kind::kNew) ++events;
    remaining.remove_prefix(size);
  }
  this->rest.erase(0, this->rest.size() - remaining.size());
  return events;
}

bool EventSplitter::IsInsideEvent() const {
  return !IsWithoutEvent(this->rest);
}

EventSplitter::Kind EventSplitter::Classify(std::string_view event) {
  const std::optional<uint64_t> id = EventId(event);
  if (!id && IsWithoutEvent(event)) return Kind::kNoEvent;
  if (!id) {
    this->unnumbered = true;
    return Kind::kUnnumbered;
  }
  if (this->last && *id <= *this->last) return Kind::kKnown;
  if (this->last && *id != *this->last + 1) this->gap = true;
  this->last = id;
  return Kind::kNew;
}

}  // namespace fuchsiadrum::serving
