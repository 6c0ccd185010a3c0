#include "fuchsiadrum/serving/event_splitter.h"

#include <charconv>

namespace fuchsiadrum::serving {
namespace {

constexpr std::string_view kIdField = "id:";

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

/// True if the event consists of comments, which keep a connection in use.
bool IsComment(std::string_view event) {
  while (!event.empty()) {
    const char first = event.front();
    if (first != ':' && first != '\r' && first != '\n') return false;
    const size_t end = event.find('\n');
    if (end == std::string_view::npos) break;
    event.remove_prefix(end + 1);
  }
  return true;
}

/// Returns the event's number; nullopt if it has none, several, or one that is
/// followed by other text.
std::optional<uint64_t> EventId(std::string_view event) {
  std::optional<uint64_t> found;
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (line.starts_with(' ')) line.remove_prefix(1);
      uint64_t id = 0;
      const char* const line_end = line.data() + line.size();
      const auto result = std::from_chars(line.data(), line_end, id);
      if (found || result.ec != std::errc() || result.ptr != line_end) {
        return std::nullopt;
      }
      found = id;
    }
    if (end == std::string_view::npos) break;
    event.remove_prefix(end + 1);
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
    if (this->IsNew(event)) {
      out.append(event);
      ++events;
    }
    remaining.remove_prefix(size);
  }
  this->rest.erase(0, this->rest.size() - remaining.size());
  return events;
}

bool EventSplitter::IsNew(std::string_view event) {
  const std::optional<uint64_t> id = EventId(event);
  if (!id) {
    if (!IsComment(event)) this->unnumbered = true;
    return true;
  }
  if (this->last && *id <= *this->last) return false;
  if (this->last && *id != *this->last + 1) this->gap = true;
  this->last = id;
  return true;
}

}  // namespace fuchsiadrum::serving
