#include "daemon/http_message.h"

#include <boost/algorithm/string/predicate.hpp>
#include <cstdio>
#include <map>

namespace fuchsiadrum::daemon {
namespace {

void AppendHeaders(std::string& out, const HttpHeaders& headers) {
  for (const auto& [name, value] : headers) {
    out.append(name).append(": ").append(value).append("\r\n");
  }
}

std::string StatusLine(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(StatusText(status)) + "\r\n";
}

}  // namespace

std::string HttpRequest::Header(std::string_view name) const {
  for (const auto& [key, value] : this->headers) {
    if (boost::algorithm::iequals(key, name)) return value;
  }
  return {};
}

int HttpRequest::HeaderCount(std::string_view name) const {
  int count = 0;
  for (const auto& [key, value] : this->headers) {
    if (boost::algorithm::iequals(key, name)) ++count;
  }
  return count;
}

std::string HttpResponse::ToText() const {
  std::string out = StatusLine(this->status);
  AppendHeaders(out, this->headers);
  out += "Content-Length: " + std::to_string(this->body.size()) + "\r\n";
  if (!this->keep_alive) out += "Connection: close\r\n";
  return out + "\r\n" + this->body;
}

std::string ChunkedHead(int status, const HttpHeaders& headers,
                        bool keep_alive) {
  std::string out = StatusLine(status);
  AppendHeaders(out, headers);
  out += "Transfer-Encoding: chunked\r\n";
  if (!keep_alive) out += "Connection: close\r\n";
  return out + "\r\n";
}

std::string Chunk(std::string_view bytes) {
  if (bytes.empty()) return {};
  char size[20];
  const int digits = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  std::string out;
  out.reserve(bytes.size() + sizeof size);
  out.append(size, static_cast<size_t>(digits)).append(bytes).append("\r\n");
  return out;
}

std::string LastChunk(const HttpHeaders& trailers) {
  std::string out = "0\r\n";
  AppendHeaders(out, trailers);
  return out + "\r\n";
}

std::string RequestText(std::string_view method, std::string_view target,
                        std::string_view host, const HttpHeaders& headers,
                        std::string_view body) {
  std::string out;
  out.reserve(body.size() + 512);
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ");
  out.append(host).append("\r\n");
  AppendHeaders(out, headers);
  if (!body.empty() || method == "POST" || method == "PUT") {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return out.append("\r\n").append(body);
}

std::string_view StatusText(int status) {
  static const std::map<int, std::string_view> kTexts = {
      {200, "OK"},
      {201, "Created"},
      {202, "Accepted"},
      {204, "No Content"},
      {400, "Bad Request"},
      {401, "Unauthorized"},
      {402, "Payment Required"},
      {403, "Forbidden"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {408, "Request Timeout"},
      {409, "Conflict"},
      {413, "Content Too Large"},
      {422, "Unprocessable Content"},
      {429, "Too Many Requests"},
      {431, "Request Header Fields Too Large"},
      {500, "Internal Server Error"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"},
  };
  const auto found = kTexts.find(status);
  return found == kTexts.end() ? "Status" : found->second;
}

}  // namespace fuchsiadrum::daemon
