#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsiadrum::daemon {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A parsed request of a caller or operator.
struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  bool keep_alive = true;

  /// Value of a header; empty if it is absent.
  std::string Header(std::string_view name) const;
  /// How often a header was sent.
  int HeaderCount(std::string_view name) const;
};

/// A whole answer, written with its Content-Length.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  bool keep_alive = true;

  /// The bytes on the wire.
  std::string ToText() const;
};

/// Head of an answer with Transfer-Encoding: chunked.
std::string ChunkedHead(int status, const HttpHeaders& headers,
                        bool keep_alive);
/// One chunk; empty bytes give an empty text, since an empty chunk is the end.
std::string Chunk(std::string_view bytes);
/// The last chunk, with trailers.
std::string LastChunk(const HttpHeaders& trailers);
/// A request of this daemon.
std::string RequestText(std::string_view method, std::string_view target,
                        std::string_view host, const HttpHeaders& headers,
                        std::string_view body);
/// Reason phrase of a status.
std::string_view StatusText(int status);

}  // namespace fuchsiadrum::daemon
