#include "gateway/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <cstdio>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

void AppendText(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      // Text from peers need not be valid UTF-8, so each byte is escaped.
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
      out += escaped.data();
    } else {
      out += c;
    }
  }
  out += '"';
}

}  // namespace

EventLog::EventLog(const EventLogOptions& opts) : options(opts) {
  const int flags = fcntl(opts.descriptor, F_GETFL);
  if (flags >= 0) fcntl(opts.descriptor, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::Write(std::string_view event,
                     std::initializer_list<LogField> fields) {
  constexpr size_t kLineReserve = 1024;
  if (this->buffer.size() + kLineReserve > this->options.buffer_bytes) {
    ++this->unreported_drops;
    ++this->dropped_total;
    return;
  }
  this->buffer += "{\"t_ms\":";
  this->buffer += std::to_string(Now().us / 1000);
  this->buffer += ",\"vm\":";
  AppendText(this->buffer, this->options.vm);
  this->buffer += ",\"event\":";
  AppendText(this->buffer, event);
  for (const LogField& field : fields) {
    this->buffer += ',';
    AppendText(this->buffer, field.name);
    this->buffer += ':';
    this->AppendValue(field);
  }
  this->buffer += "}\n";
}

void EventLog::AppendValue(const LogField& field) {
  if (const auto* text = std::get_if<std::string_view>(&field.value)) {
    AppendText(this->buffer, *text);
  } else if (const auto* number = std::get_if<int64_t>(&field.value)) {
    this->buffer += std::to_string(*number);
  } else if (const auto* flag = std::get_if<bool>(&field.value)) {
    this->buffer += *flag ? "true" : "false";
  } else {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f",
                  std::get<double>(field.value));
    this->buffer += text.data();
  }
}

void EventLog::Flush() {
  if (this->unreported_drops > 0 && this->buffer.empty()) {
    const auto lines = static_cast<int64_t>(this->unreported_drops);
    this->unreported_drops = 0;
    this->Write("log-dropped", {{"lines", lines}});
  }
  if (this->buffer.empty()) return;
  const ssize_t written =
      write(this->options.descriptor, this->buffer.data(), this->buffer.size());
  // If the pipe is full, the lines stay for the next call. Any other error
  // means that nobody reads the log, and the lines are discarded.
  if (written > 0) {
    this->buffer.erase(0, static_cast<size_t>(written));
  } else if (written < 0 && errno != EAGAIN && errno != EINTR) {
    this->buffer.clear();
  }
}

}  // namespace fuchsiadrum::gateway
