#include "daemon/sse_parser.h"

namespace fuchsiadrum::daemon {

bool SseParser::Feed(std::string_view bytes, const OnData& handler) {
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      this->partial_line.append(bytes);
      break;
    }

    // A line that lies within one piece needs no copy.
    if (this->partial_line.empty()) {
      this->TakeLine(bytes.substr(0, end), handler);
    } else {
      this->partial_line.append(bytes.substr(0, end));
      std::string line;
      line.swap(this->partial_line);
      this->TakeLine(line, handler);
    }
    bytes.remove_prefix(end + 1);
  }
  return this->partial_line.size() + this->data.size() <= this->max_event_bytes;
}

void SseParser::TakeLine(std::string_view line, const OnData& handler) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) {
    if (this->has_data) handler(this->data);
    this->data.clear();
    this->has_data = false;
    this->is_error = false;
    return;
  }

  if (line == "event: error" || line == "event:error") this->is_error = true;
  static constexpr std::string_view kData = "data:";
  if (!line.starts_with(kData)) return;
  line.remove_prefix(kData.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  if (this->has_data) this->data.push_back('\n');
  this->data.append(line);
  this->has_data = true;
}

}  // namespace fuchsiadrum::daemon
